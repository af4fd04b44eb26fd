"""Round trips between VMs and to targets, and what follows from them."""
