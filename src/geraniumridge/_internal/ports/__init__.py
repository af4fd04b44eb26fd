"""Interfaces of the external systems that the proxy depends on."""
