"""Streams, HTTP, thrift and the clients of other processes."""
