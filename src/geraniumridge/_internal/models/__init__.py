"""Typed settings, configuration, requests and records."""
