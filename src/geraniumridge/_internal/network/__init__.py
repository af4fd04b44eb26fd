"""Streams, HTTP, thrift and clients of outside systems."""
