"""Decisions of the leader of a cell: views, leases and shares.

A cell is the VMs of one failure domain that follow one leader. A view is a
numbered list of members; a new one becomes active once no VM acts under the
prior view any more.

The share is the fraction of the domain's rate limits that the cell may use.
A base names the VMs between which the domain is divided evenly, and the
leader counts those of them that follow it and that no other leader can
count, so that the shares of all cells of a domain add up to at most 1. With
several bases, the smallest share under any of them counts.
"""

import math
import typing

from geraniumridge._internal.decisions import clock_drift
from geraniumridge._internal.models import membership


class PriorState(typing.NamedTuple):
    """What a new leader knows about the time before its claim.

    `earlier_views_ended` tells whether no VM can act under an earlier view
    any more, `no_earlier_view` whether there never was one. `departed` are
    VMs that have left, `counted` those that the previous leader counted in
    its share.
    """

    earlier_views_ended: bool = False
    no_earlier_view: bool = False
    departed: frozenset[str] = frozenset()
    counted: frozenset[str] = frozenset()


class Leadership:
    """State of a VM that leads its cell, from its claim on.

    Parameters
    ----------
    me : membership.Member
        The leader.
    number : int
        Number of the claim.
    members : iterable of membership.Member
        The leader and the VMs that accepted the claim.
    bases : iterable of membership.Base
        All bases that the leader or these VMs know.
    lease_s : float
        Length of a lease, in seconds.
    now : float
        Current time, in seconds.
    prior_state : PriorState
        What is known about the time before the claim.
    """

    def __init__(self, me, number, members, bases, lease_s, now, prior_state):
        self._me = me
        self._lease_s = lease_s
        self._view = membership.View(number, me.name, tuple(sorted(members)))
        self._is_active = prior_state.earlier_views_ended
        self._prior_view = None
        self._bases = tuple(sorted(set(bases)))
        self._proposed_base = None
        self._lease_wait_s = lease_s * clock_drift.CLOCK_DRIFT_FACTOR
        # An earlier leader may count a VM for one lease after its last
        # heartbeat; its members then use the share that they were told for
        # one lease more.
        self._count_delay_s = 2 * lease_s * clock_drift.CLOCK_DRIFT_FACTOR
        activation_delay_s = (
            0.0 if prior_state.earlier_views_ended else self._lease_wait_s
        )
        self._activate_after = now + activation_delay_s
        count_delay_s = (
            0.0 if prior_state.no_earlier_view else self._count_delay_s
        )
        self._counted_from = {
            member.name: now + count_delay_s
            for member in self._view.members
            if not (
                prior_state.earlier_views_ended
                and member.name in prior_state.counted
            )
        }
        self._echoed_stamps = {}
        self._granted_until = {}
        self._view_acks = {me.name}
        self._base_acks = {}
        self._joining = {}
        self._leaving = set()
        self._departed = set(prior_state.departed)

    @property
    def view(self):
        """The newest view issued."""
        return self._view

    @property
    def prior_view(self):
        """The view before the newest, while that is not active yet."""
        return self._prior_view

    @property
    def is_active(self):
        """Whether the newest view is active."""
        return self._is_active

    @property
    def bases(self):
        """Bases that all bound the share; usually one."""
        return self._bases

    def tick(self, now, listed, long_unlisted):
        """Activate the newest view, or change the view and the base.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        listed : set of str
            Names of the domain's VMs in the platform's list.
        long_unlisted : set of str
            Names that have been missing from that list for more than
            `known_vms.UNLISTED_GRACE_S`, and so lose their share.
        """
        if not self._is_active:
            self._try_activate(now)
        if self._is_active:
            self._change_view(now)
            self._change_base(listed, long_unlisted)

    def handle_heartbeat(self, now, heartbeat):
        """Process a heartbeat and return its answer."""
        sender = heartbeat.sender
        if heartbeat.inquiry:
            return self._make_refusal()
        known = self._view.find_member(sender.name) == sender
        if not known or heartbeat.number > self._view.number:
            return self._handle_outsider(now, heartbeat)
        self._departed.discard(sender.name)
        self._note_leaving(heartbeat)
        if heartbeat.leader == self._me.name:
            known = self._echoed_stamps.get(sender.name, -math.inf)
            self._echoed_stamps[sender.name] = max(known, heartbeat.echo)
            self._base_acks[sender.name] = heartbeat.base_number
            if heartbeat.number == self._view.number:
                self._view_acks.add(sender.name)
        elif sender.name in self._echoed_stamps:
            # It followed another leader, which may still count it.
            del self._echoed_stamps[sender.name]
            self._counted_from[sender.name] = now + self._count_delay_s
        return self._grant_lease(now, sender)

    def _handle_outsider(self, now, heartbeat):
        """Answer a VM outside the view, which leaves or wants to join."""
        sender = heartbeat.sender
        follows_me = heartbeat.leader == self._me.name
        if heartbeat.leaving and follows_me:
            if heartbeat.number < self._view.number:
                return self._grant_lease(now, sender)
            self._view_acks.add(sender.name)
            self._departed.add(sender.name)
        elif not heartbeat.leaving:
            self._joining[sender.name] = (sender, heartbeat.number)
        return self._make_refusal()

    def _make_refusal(self):
        return membership.HeartbeatAnswer(
            False, self._view.number, self._me.address, view=self._view
        )

    def _note_leaving(self, heartbeat):
        if heartbeat.leaving:
            self._leaving.add(heartbeat.sender.name)
        else:
            self._leaving.discard(heartbeat.sender.name)

    def _grant_lease(self, now, sender):
        self._granted_until[sender.name] = now + self._lease_wait_s
        return membership.HeartbeatAnswer(
            True,
            self._view.number,
            self._me.address,
            view=self._view,
            active=self._is_active,
            lease_s=self._lease_s,
            share=self.get_share(now),
            speaks=self.leads_domain_majority(now),
            stamp=now,
            bases=self.list_announced_bases(),
            counted=sender.name in set(self._list_counted_names(now)),
        )

    def get_share(self, now):
        """Return the fraction of the domain's rate limits for this cell."""
        counted = set(self._list_counted_names(now))
        parts = [
            len(counted.intersection(base.names)) / len(base.names)
            for base in self.list_announced_bases()
        ]
        return min(parts, default=0.0)

    def leads_domain_majority(self, now):
        """Return whether most of the domain's VMs follow this leader."""
        return self._is_active and self.get_share(now) > 0.5

    def _list_counted_names(self, now):
        """Yield the names of the members that count for the share.

        A member counts once no other leader can count it, and while the stamp
        that it last echoed is younger than a lease.
        """
        for member in self._view.members:
            name = member.name
            if now < self._counted_from.get(name, now):
                continue
            if name == self._me.name:
                yield name
            elif (
                now < self._echoed_stamps.get(name, -math.inf) + self._lease_s
            ):
                yield name

    def list_announced_bases(self):
        """Return the bases in use and the proposed one, if any."""
        if self._proposed_base is None:
            return self._bases
        return (*self._bases, self._proposed_base)

    def _try_activate(self, now):
        if now < self._activate_after:
            return
        prior_members = self._prior_view.members if self._prior_view else ()
        if all(
            self._has_left_prior_view(member, now) for member in prior_members
        ):
            self._is_active = True
            self._prior_view = None

    def _has_left_prior_view(self, member, now):
        """Return whether a member no longer acts under the prior view.

        That is so once it has restarted, its lease has ended, or it has
        acknowledged the newest view.
        """
        replaced = self._view.find_member(member.name) not in (None, member)
        lease_ended = now >= self._granted_until.get(member.name, now)
        return replaced or lease_ended or member.name in self._view_acks

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
            self._counted_from[member.name] = now + self._count_delay_s
            self._granted_until[member.name] = now + self._lease_wait_s
            self._echoed_stamps.pop(member.name, None)
            self._base_acks.pop(member.name, None)
            self._leaving.discard(member.name)
            self._departed.discard(member.name)
        self._prior_view = self._view
        self._view = membership.View(number, self._me.name, members)
        self._view_acks = {self._me.name}
        self._is_active = False
        self._try_activate(now)

    def _is_kept(self, member, now):
        if member == self._me:
            return True
        if member.name in self._leaving:
            return False
        # A member that has not sent a heartbeat yet is kept for one lease.
        granted_until = self._granted_until.setdefault(
            member.name, now + self._lease_wait_s
        )
        return now < granted_until

    def _change_base(self, listed, long_unlisted):
        base_names = set().union(*(base.names for base in self._bases))
        removed = {
            name
            for name in base_names - self._view.names
            if name in long_unlisted or name in self._departed
        }
        wanted = (base_names - removed) | self._view.names
        if not self._bases and not (listed and listed <= wanted):
            # A listed VM outside the view may have a share of its own.
            return
        if len(self._bases) == 1 and wanted == base_names:
            self._proposed_base = None
            return
        if self._proposed_base is None or wanted != set(
            self._proposed_base.names
        ):
            bases = self.list_announced_bases()
            number = max((base.number for base in bases), default=0) + 1
            self._proposed_base = membership.Base(
                number, tuple(sorted(wanted))
            )
        self._try_activate_base()

    def _try_activate_base(self):
        """Replace the bases once all VMs of the proposed one know it."""
        for name in self._proposed_base.names:
            if name == self._me.name:
                continue
            if name not in self._view.names:
                return
            if self._base_acks.get(name, 0) < self._proposed_base.number:
                return
        self._bases = (self._proposed_base,)
        self._proposed_base = None
