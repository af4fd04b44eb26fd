"""VMs of a failure domain that a VM of the domain knows of."""

UNLISTED_GRACE_S = 10.0
"""Time without an entry in the platform's list after which the share of a VM
outside the view may go to the others."""


class KnownVms:
    """The platform's list of a domain's VMs, and where VMs can be reached.

    Parameters
    ----------
    me : membership.Member
        The VM itself, which is not among its peers.
    """

    def __init__(self, me):
        self._me = me
        self._listed = {}
        self._unlisted_since = {}
        self._seeds = ()

    @property
    def listed(self):
        """Names of the VMs in the platform's list."""
        return set(self._listed)

    def set_listed(self, now, members):
        """Set the platform's list.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        members : dict of str to str
            Peer address by name of the VM.
        """
        for name in self._listed.keys() - members.keys():
            self._unlisted_since.setdefault(name, now)
        for name in members:
            self._unlisted_since.pop(name, None)
        self._listed = dict(members)

    def set_seeds(self, addresses):
        """Set addresses to try in addition to the platform's list."""
        self._seeds = tuple(addresses)

    def list_long_unlisted(self, now):
        """Return the names missing for longer than `UNLISTED_GRACE_S`."""
        return {
            name
            for name, since in self._unlisted_since.items()
            if now - since > UNLISTED_GRACE_S
        }

    def get_peer_addresses(self, view):
        """Return the addresses of all other known VMs by name.

        Parameters
        ----------
        view : membership.View or None
            Its members' addresses go before those of the list.
        """
        addresses = dict(self._listed)
        if view is not None:
            for member in view.members:
                addresses[member.name] = member.address
        addresses.pop(self._me.name, None)
        known = {*addresses.values(), self._me.address}
        for address in self._seeds:
            if address not in known:
                addresses[f"seed {address}"] = address
        return addresses
