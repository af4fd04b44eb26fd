"""What the leader of a cell decides: views, grants and shares."""

import math
import typing

from geraniumridge._internal.models import membership

DRIFT = 1.1
"""Allowance for clocks that run at different speeds."""


class History(typing.NamedTuple):
    """What a new leader knows of the time before its claim.

    `complete` tells that nobody can act under an earlier view any
    more, `fresh` that nobody ever had one, `left` who has left, and
    `counted` whose part of the share an ended leader had counted.
    """

    complete: bool = False
    fresh: bool = False
    left: frozenset[str] = frozenset()
    counted: frozenset[str] = frozenset()


class Leadership:
    """One VM's leadership of its cell, from its claim on.

    Parameters
    ----------
    me : membership.Member
        The leader.
    number : int
        Number of the claim.
    members : iterable of membership.Member
        The leader and all who accepted the claim.
    bases : iterable of membership.Base
        Every base that the leader or an acceptor knows.
    lease_s : float
        Length of a lease, in seconds.
    now : float
        Current time, in seconds.
    history : History
        What is known of the time before the claim.
    """

    def __init__(self, me, number, members, bases, lease_s, now, history):
        self._me = me
        self._lease_s = lease_s
        self._view = membership.View(number, me.name, tuple(sorted(members)))
        self._active = history.complete
        self._prior = None
        self._bases = tuple(sorted(set(bases)))
        self._proposed = None
        hold_s = 0.0 if history.complete else lease_s * DRIFT
        self._wait_until = now + hold_s
        count_s = 0.0 if history.fresh else 2 * lease_s * DRIFT
        # An earlier leader may count a VM until its evidence and then
        # the grants made on it have lapsed.
        self._counted_from = {
            member.name: now + count_s
            for member in self._view.members
            if not (history.complete and member.name in history.counted)
        }
        self._evidence = {}
        self._granted_until = {}
        self._acked = {me.name}
        self._base_acked = {}
        self._joining = {}
        self._leaving = set()
        self._left = set(history.left)

    @property
    def view(self):
        """The newest view issued."""
        return self._view

    @property
    def prior(self):
        """The view that is still acted on while the newest waits."""
        return self._prior

    @property
    def is_active(self):
        """Whether the newest view is in use."""
        return self._active

    @property
    def bases(self):
        """Bases that the share must respect; one in calm times."""
        return self._bases

    def tick(self, now, listed, gone):
        """Activate, change and re-base as far as the time allows.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        listed : set of str
            Names that the platform lists in this domain.
        gone : set of str
            Names that have been off the list for long enough.
        """
        if not self._active:
            self._try_activate(now)
        if self._active:
            self._change_view(now)
            self._change_base(listed, gone)

    def take_heartbeat(self, now, heartbeat):
        """Take a renewal and return its answer."""
        sender = heartbeat.sender
        if heartbeat.inquiry:
            return self._refuse()
        known = self._view.find_member(sender.name) == sender
        if not known or heartbeat.number > self._view.number:
            return self._take_outsider(now, heartbeat)
        self._left.discard(sender.name)
        self._note_leaving(heartbeat)
        if heartbeat.leader == self._me.name:
            known = self._evidence.get(sender.name, -math.inf)
            self._evidence[sender.name] = max(known, heartbeat.echo)
            self._base_acked[sender.name] = heartbeat.base_number
            if heartbeat.number == self._view.number:
                self._acked.add(sender.name)
        elif sender.name in self._evidence:
            # It followed somebody else, who may count it for a while.
            del self._evidence[sender.name]
            start = now + 2 * self._lease_s * DRIFT
            self._counted_from[sender.name] = start
        return self._grant(now, sender)

    def _take_outsider(self, now, heartbeat):
        """Answer a VM outside the view: it leaves, or wants to join."""
        sender = heartbeat.sender
        mine = heartbeat.leader == self._me.name
        if heartbeat.leaving and mine:
            if heartbeat.number < self._view.number:
                return self._grant(now, sender)
            self._acked.add(sender.name)
            self._left.add(sender.name)
        elif not heartbeat.leaving:
            self._joining[sender.name] = (sender, heartbeat.number)
        return self._refuse()

    def _refuse(self):
        return membership.HeartbeatAnswer(
            False, self._view.number, self._me.address, view=self._view
        )

    def _note_leaving(self, heartbeat):
        if heartbeat.leaving:
            self._leaving.add(heartbeat.sender.name)
        else:
            self._leaving.discard(heartbeat.sender.name)

    def _grant(self, now, sender):
        self._granted_until[sender.name] = now + self._lease_s * DRIFT
        return membership.HeartbeatAnswer(
            True,
            self._view.number,
            self._me.address,
            view=self._view,
            active=self._active,
            lease_s=self._lease_s,
            share=self.get_share(now),
            speaks=self.speaks(now),
            stamp=now,
            bases=self.list_announced(),
            counted=sender.name in set(self._list_counted(now)),
        )

    def get_share(self, now):
        """Return the part of the domain's share that is held here."""
        counted = set(self._list_counted(now))
        parts = [
            len(counted.intersection(base.names)) / len(base.names)
            for base in self.list_announced()
        ]
        return min(parts, default=0.0)

    def speaks(self, now):
        """Tell whether most of the domain's VMs follow this leader."""
        return self._active and self.get_share(now) > 0.5

    def _list_counted(self, now):
        for member in self._view.members:
            name = member.name
            if now < self._counted_from.get(name, now):
                continue
            if name == self._me.name:
                yield name
            elif now < self._evidence.get(name, -math.inf) + self._lease_s:
                yield name

    def list_announced(self):
        """Return the bases in use and the one proposed, if any."""
        if self._proposed is None:
            return self._bases
        return (*self._bases, self._proposed)

    def _try_activate(self, now):
        if now < self._wait_until:
            return
        prior = self._prior.members if self._prior else ()
        if all(self._is_done_with_prior(member, now) for member in prior):
            self._active = True
            self._prior = None

    def _is_done_with_prior(self, member, now):
        """Tell whether a member no longer acts under the prior view."""
        replaced = self._view.find_member(member.name) not in (None, member)
        lapsed = now >= self._granted_until.get(member.name, now)
        return replaced or lapsed or member.name in self._acked

    def _change_view(self, now):
        joining = dict(self._joining)
        self._joining.clear()
        kept = [
            member
            for member in self._view.members
            if member.name not in joining and self._is_kept(member, now)
        ]
        added = [member for member, _ in joining.values()]
        members = tuple(sorted(kept + added))
        if members == self._view.members:
            return
        numbers = [number for _, number in joining.values()]
        number = max([self._view.number, *numbers]) + 1
        for member in added:
            start = now + 2 * self._lease_s * DRIFT
            self._counted_from[member.name] = start
            self._granted_until[member.name] = now + self._lease_s * DRIFT
            self._evidence.pop(member.name, None)
            self._base_acked.pop(member.name, None)
            self._leaving.discard(member.name)
            self._left.discard(member.name)
        self._prior = self._view
        self._view = membership.View(number, self._me.name, members)
        self._acked = {self._me.name}
        self._active = False
        self._try_activate(now)

    def _is_kept(self, member, now):
        if member == self._me:
            return True
        if member.name in self._leaving:
            return False
        # A member that has not renewed yet gets one lease of time.
        until = self._granted_until.setdefault(
            member.name, now + self._lease_s * DRIFT
        )
        return now < until

    def _change_base(self, listed, gone):
        held = set().union(*(base.names for base in self._bases))
        removed = {
            name
            for name in held - self._view.names
            if name in gone or name in self._left
        }
        wanted = (held - removed) | self._view.names
        if not self._bases and not (listed and listed <= wanted):
            # A VM that cannot be asked may hold a part of the share.
            return
        if len(self._bases) == 1 and wanted == held:
            self._proposed = None
            return
        if self._proposed is None or wanted != set(self._proposed.names):
            bases = self.list_announced()
            number = max((base.number for base in bases), default=0) + 1
            self._proposed = membership.Base(number, tuple(sorted(wanted)))
        self._try_base()

    def _try_base(self):
        """Use the proposed base once all who hold a part know it."""
        for name in self._proposed.names:
            if name == self._me.name:
                continue
            if name not in self._view.names:
                return
            if self._base_acked.get(name, 0) < self._proposed.number:
                return
        self._bases = (self._proposed,)
        self._proposed = None
