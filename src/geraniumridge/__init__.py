"""A shared database proxy with session consistency.

The package has no import API beyond its version: run the daemon
``geraniumridged`` and the operators' tool ``geraniumridge``.
"""

__version__ = "0.1.0"
