"""Interfaces of the systems around the proxy on the users' platform."""
