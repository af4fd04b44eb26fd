"""Exchange of usage counts between the VMs."""
