"""Processes and clients that the cases of the second review share."""
