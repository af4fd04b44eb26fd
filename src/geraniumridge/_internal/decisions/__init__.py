"""Synchronous decision logic: no I/O, no clock of its own."""
