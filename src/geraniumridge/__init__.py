"""A shared database proxy with session consistency.

The version is the only public name of the package. Use the daemon
``geraniumridged`` and the operators' tool ``geraniumridge``.
"""

__version__ = "0.1.0"
