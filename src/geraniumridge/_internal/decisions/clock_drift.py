"""Allowance for clocks of different VMs that run at different speeds."""

CLOCK_DRIFT_FACTOR = 1.1
"""Factor on waits until something has expired by another VM's clock.

That clock may run slower, by less than a tenth: the most that
``docs/PROMISES.md`` allows for.
"""
