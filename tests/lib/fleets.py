"""Factories of `models.fleet` and `models.desired` records for tests.

The deployments of processes are in `standins.fleet`.
"""

from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet


def make_target(name, group="ledger", **fields):
    """Return a registered target."""
    values = {
        "id": name,
        "group": group,
        "address": "127.0.0.1:1",
        "domain": "north",
        "slots": 3,
        "is_draining": False,
        "warmup_left_s": 0.0,
        "role": desired.Role.REPLICA,
        "started_ms": 1,
    }
    return desired.Target(**{**values, **fields})


def make_route(database="orders", **fields):
    """Return a route."""
    values = {
        "name": database,
        "database": database,
        "group": "ledger",
        "consistency": desired.Consistency.PRIMARY,
        "timeout_s": 1.0,
        "latency_objective_s": 0.2,
        "attempts": 2,
        "priority": 1,
        "max_staleness_s": 1.5,
        "is_public": False,
    }
    return desired.Route(**{**values, **fields})


def make_state(version=1, routes=(), teams=None):
    """Return a desired state of one group and one team."""
    routes = routes or (make_route(),)
    return desired.DesiredState(
        version=version,
        routes={route.database: route for route in routes},
        groups={"ledger": desired.GroupSettings("ledger", 20, 0.0, 1)},
        teams=teams or {"team": desired.Team("team", 100.0, 100.0)},
        keys={"key": "team"},
        transaction_idle_timeout_s=3.0,
    )


def make_member(vm, boot="boot"):
    """Return the registration of a VM."""
    return fleet.Member(vm, "north", "127.0.0.1:1", boot)
