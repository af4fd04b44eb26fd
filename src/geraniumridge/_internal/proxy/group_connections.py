"""Control connections to all targets of a group during a failover."""

from geraniumridge._internal.decisions import succession
from geraniumridge._internal.decisions import target_sets
from geraniumridge._internal.proxy import control
from geraniumridge._internal.utils import clock


class GroupConnections:
    """Control connections to the targets of a group.

    They include targets that left recently and may return.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    group : str
        The group.
    """

    def __init__(self, node, group):
        self._node = node
        self._group = group
        self._connections = {}

    def __iter__(self):
        """Iterate over the `control.ControlConnection` of all targets."""
        return iter(self._connections.values())

    def get(self, target_id):
        """Return the connection to a target."""
        return self._connections[target_id]

    def refresh(self):
        """Add connections to new targets; close those to forgotten ones."""
        targets = {
            item.id: item
            for item in [
                *self._node.view.list_group(self._group),
                *self._list_departed(),
            ]
        }
        for target_id in list(self._connections.keys() - targets.keys()):
            self._connections.pop(target_id).close()
        for target_id, target in targets.items():
            if target_id not in self._connections:
                self._connections[target_id] = control.ControlConnection(
                    self._node.dialect,
                    target,
                    self._node.distances.get_added_s(target.domain),
                )

    def close(self):
        """Close all connections."""
        for connection in self:
            connection.close()

    def list_others(self, target_id):
        """Return the connections to all targets but one."""
        return [item for item in self if item.target.id != target_id]

    def list_registered_others(self, target_id):
        """Return the connections to all registered targets but one."""
        registered = self._node.view.targets
        others = self.list_others(target_id)
        return [item for item in others if item.target.id in registered]

    def may_be_promoted(self, target_id):
        """Return whether a target is registered and is to stay in use."""
        view = self._node.view
        target = view.targets.get(target_id)
        return target is not None and succession.may_be_promoted(
            target, view.evacuated
        )

    def _list_departed(self):
        """Return the targets that left recently and have not returned.

        A target that returns under another id has its log and address.
        """
        view = self._node.view
        addresses = {item.address for item in view.list_group(self._group)}
        recently_removed = view.list_recently_removed(
            self._group, clock.now(), target_sets.DEPARTED_TARGET_WAIT_S
        )
        return [
            item for item in recently_removed if item.address not in addresses
        ]
