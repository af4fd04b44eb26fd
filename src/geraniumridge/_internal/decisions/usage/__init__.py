"""Usage reports: counting, true time, and the holder that sends them."""
