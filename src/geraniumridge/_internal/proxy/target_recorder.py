"""Task that keeps the stored sets of the groups' targets up to date."""

import logging

import trio

from geraniumridge._internal.decisions import target_sets
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous
from geraniumridge._internal.utils import rounds

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.2
"""Interval between checks of the sets."""

GROUPS_PER_CHECK = 240
"""Groups examined per check, which bounds its cost in a fleet with
thousands of groups."""

RANK_DELAY_S = 0.4
"""Delay per rank in a group's order of VMs, so that one VM writes a set;
covers a check, a write and the reading of it by the others."""

MAX_RANK_DELAY_S = 2.0
"""Upper bound of the delay by rank."""

MAX_VIEW_AGE_S = 1.0
"""Age of the store view above which no set is written."""


class TargetRecorder:
    """Writer of the stored sets of the groups' targets.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    """

    def __init__(self, node, store):
        self._node = node
        self._store = store
        self._rounds = rounds.RoundRobin(GROUPS_PER_CHECK)
        self._outdated_since = {}

    async def run(self):
        """Keep the sets up to date until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            for group, target_set in self._list_due_updates():
                await self._write(group, target_set)

    def _list_due_updates(self):
        now = clock.now()
        view = self._node.view
        is_member = self._node.primary_resolver.is_self_registered()
        if view.state is None or not is_member:
            return
        if not self._node.view_age.is_within(now, MAX_VIEW_AGE_S):
            return
        for group in self._rounds.take_batch(list(view.state.groups)):
            target_set = target_sets.find_update(view, group, now)
            if target_set is None:
                self._outdated_since.pop(group, None)
                continue
            since = self._outdated_since.setdefault(group, now)
            if now - since >= self._get_rank_delay_s(group):
                yield group, target_set

    def _get_rank_delay_s(self, group):
        members = self._node.view.members
        rank = rendezvous.find_rank(
            group, members, self._node.settings.vm.name
        )
        return min(MAX_RANK_DELAY_S, rank * RANK_DELAY_S)

    async def _write(self, group, target_set):
        """Write a set unless another VM has written one since."""
        key = fleet.make_targets_key(group)
        revision = self._node.view.get_revision(key)
        write = store_port.Write(key, fleet.encode_record(target_set))
        # The view shows the write only later; the delay begins again.
        self._outdated_since.pop(group, None)
        try:
            await self._store.commit({key: revision}, [write])
        except exceptions.PlatformError as error:
            logger.info(
                "targets of a group not recorded; trying again",
                extra={
                    "event": "targets_not_recorded",
                    "group": group,
                    "why": str(error),
                },
            )
            return
        logger.info(
            "targets of a group recorded",
            extra={
                "event": "targets_recorded",
                "group": group,
                "targets": [item.id for item in target_set.targets],
            },
        )
