"""Usage reports: collection of the counts, and the tasks that report."""
