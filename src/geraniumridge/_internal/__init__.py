"""Implementation of the daemon and the operators' tool."""
