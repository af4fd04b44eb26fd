"""Addresses of the form ``IP:port``."""

import pytest

from geraniumridge._internal.utils import addresses


@pytest.mark.parametrize("address", ["127.0.0.1:80", "[::1]:65535"])
def test_ip_addresses_are_accepted(address):
    addresses.check_ip_address(address)


@pytest.mark.parametrize(
    "address",
    ["", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536", "a:1", ":1"],
)
def test_other_addresses_are_rejected(address):
    with pytest.raises(ValueError):
        addresses.check_ip_address(address)
