"""Choice of the target for a read that replicas may serve."""
