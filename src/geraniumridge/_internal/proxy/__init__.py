"""Statement path of the daemon: sessions, targets and the store view."""
