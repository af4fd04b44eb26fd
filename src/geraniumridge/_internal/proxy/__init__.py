"""The statement path of the daemon: sessions, targets, the store."""
