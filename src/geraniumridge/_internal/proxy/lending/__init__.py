"""Connections to targets that VMs lend to each other."""
