"""Plug-in registry and life cycle of the daemon."""
