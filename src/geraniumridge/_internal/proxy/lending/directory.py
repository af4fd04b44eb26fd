"""The VMs that lend connections to each target, by the store view."""

from geraniumridge._internal.decisions import connection_lending


class LenderDirectory:
    """Lenders of targets, found when needed and kept until members change.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    """

    def __init__(self, node):
        self._node = node
        self._lenders = {}
        self._version = None

    def find(self, target):
        """Return the names of a target's lenders.

        They are none if every VM can keep a connection to the target.

        Parameters
        ----------
        target : desired.Target
            The target.

        Returns
        -------
        tuple of str
        """
        view = self._node.view
        state_version = view.state.version if view.state else None
        version = (view.roster.change_count, state_version)
        if version != self._version:
            self._version = version
            self._lenders.clear()
        key = (target.id, target.domain)
        if key not in self._lenders:
            self._lenders[key] = self._list_lenders(target)
        return self._lenders[key]

    def _list_lenders(self, target):
        view = self._node.view
        settings = view.state.groups.get(target.group) if view.state else None
        if settings is None or not connection_lending.are_lent(
            settings.max_connections, len(view.members)
        ):
            return ()
        return connection_lending.list_lenders(
            target, view.members.values(), settings.max_connections
        )
