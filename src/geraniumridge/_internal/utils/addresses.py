"""Addresses of the form ``IP:port``."""

import ipaddress
import re

MAX_PORT = 65_535

_PORT_PATTERN = re.compile("[0-9]{1,5}")


def split(address):
    """Return the host and port of ``HOST:port``.

    Raises
    ------
    ValueError
        If the address is malformed.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    is_host = host.isascii() and "\0" not in host
    is_port = _PORT_PATTERN.fullmatch(port) and int(port) <= MAX_PORT
    if not (is_host and is_port):
        raise ValueError(f"{address!r}: malformed address")
    return host, int(port)


def check_ip_address(address):
    """Check that an address consists of an IP address and a port above 0.

    Raises
    ------
    ValueError
        If it does not.
    """
    host, port = split(address)
    ipaddress.ip_address(host)
    if not port:
        raise ValueError(f"{address!r}: no port")
