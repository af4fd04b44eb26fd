"""Helpers that all layers use."""
