"""Entry points of the two programs."""
