"""Small helpers without state."""
