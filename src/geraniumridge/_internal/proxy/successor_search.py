"""Search for a replica that provably holds every acknowledged commit."""

from geraniumridge._internal.decisions import acknowledged_commits
from geraniumridge._internal.decisions import lost_logs
from geraniumridge._internal.decisions import succession
from geraniumridge._internal.models import records
from geraniumridge._internal.proxy import control
from geraniumridge._internal.utils import clock

MAX_LOGGED_VMS = 8
"""VMs that a log line names at most."""


class SuccessorSearch:
    """Search of one failover, once no VM uses the old primary any more.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    group : str
        The group.
    revision : int
        Revision of the failover's leadership record.
    connections : proxy.group_connections.GroupConnections
        Connections to the targets of the group.
    log : callable
        Function of a message and its fields that writes a log line.
    """

    def __init__(self, node, group, revision, connections, log):
        self._node = node
        self._group = group
        self._revision = revision
        self._connections = connections
        self._log = log
        self._logs = lost_logs.LostLogs()
        self._reported_position = records.LOG_START

    async def choose(self, old_target, term, old_position):
        """Pause replication and choose a replica.

        Parameters
        ----------
        old_target : str
            Id of the old primary.
        term : int
            The term for which replication is paused.
        old_position : records.LogPosition or None
            End of the old primary's log, None unless it answers and still
            leads.

        Returns
        -------
        succession.Replica or None
            None if no replica is certain to hold every acknowledged commit.
        """
        connections = self._connections.list_others(old_target)
        statuses = await control.ask_all(
            connections, lambda item: item.pause(term)
        )
        self._note_reported(statuses.values())
        await self._fetch_covering_position()
        is_old_awaited = self._is_awaited(old_target)
        told = acknowledged_commits.combine_bounds(
            self._node.view,
            self._node.acknowledgements,
            self._group,
            self._revision,
        )
        replicas = [
            self._make_replica(
                item.target, statuses[item.target.id], told, is_old_awaited
            )
            for item in connections
        ]
        chosen = succession.choose_successor(
            replicas,
            acknowledged_commits.find_covering(old_position, told),
            self._find_known_position(told, is_old_awaited),
        )
        self._log_choice(chosen, replicas, old_position, told)
        return chosen

    def _note_reported(self, statuses):
        for status in statuses:
            if status is not None:
                self._reported_position = max(
                    self._reported_position, status.received
                )

    async def _fetch_covering_position(self):
        """Ask another VM for a covering position if this one has none."""
        loss_times = [
            self._logs.get_loss_time(item.target.id, self._node.view)
            for item in self._connections
        ]
        since = max(
            (item for item in loss_times if item is not None), default=None
        )
        if since is not None:
            await self._node.position_exchange.fetch(self._group, since)

    def _is_awaited(self, target_id):
        """Return whether a target may still return with its log."""
        return any(item.target.id == target_id for item in self._connections)

    def _make_replica(self, target, status, told, is_old_awaited):
        return succession.Replica(
            target,
            status,
            self._connections.may_be_promoted(target.id),
            self._logs.find_covering(
                target.id,
                self._node.view,
                self._node.get_log_positions(self._group),
                told,
            ),
            self._logs.may_be_lost(
                target.id,
                status,
                self._reported_position,
                self._node.view,
                clock.now(),
                is_old_awaited,
            ),
            target.id not in self._node.view.targets,
        )

    def _find_known_position(self, told, is_old_awaited):
        """Return a position that a successor has to hold at least.

        A replica that started again unseen reports less than VMs have passed
        on. That counts until the old primary is gone for good.
        """
        if not is_old_awaited:
            return self._reported_position
        return max(self._reported_position, told.position)

    def _log_choice(self, chosen, replicas, old_position, told):
        """Log the choice of a successor, or what its proof lacks.

        `acknowledged` covers the commits that VMs have told. Unless that
        `is_all_told`, `untold` are VMs that have not, or one that is gone has
        not. `unbounded` are the replicas that may hold commits which nobody
        knows of.
        """
        self._log(
            "successor chosen" if chosen else "no successor proved",
            target=chosen.target.id if chosen else None,
            bound=old_position,
            acknowledged=told.position,
            is_all_told=told.is_complete,
            untold=told.untold[:MAX_LOGGED_VMS],
            unbounded=[
                item.target.id
                for item in replicas
                if succession.find_bound(item) is None
            ],
            received={
                item.target.id: item.status and item.status.received
                for item in replicas
            },
        )
