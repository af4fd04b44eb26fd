"""Options of the test run."""

import pytest


def pytest_addoption(parser):
    """Add the option for longer runs."""
    parser.addoption("--long", action="store_true", help="run longer proofs")


def pytest_collection_modifyitems(config, items):
    """Leave the longer runs out unless they were asked for."""
    if config.getoption("--long"):
        return
    skip = pytest.mark.skip(reason="needs --long")
    for item in items:
        if "slow" in item.keywords:
            item.add_marker(skip)
