"""State machine of one VM in the leader election of its cell.

A cell is the VMs of one failure domain that follow one leader. A VM looks
for a leader, follows it with heartbeats, or claims to lead with a number
that is higher than all it has seen. The leader issues views, numbered lists
of members; keys are placed on the members by rendezvous hashing.

Each heartbeat that the leader grants renews a lease, which starts when the
heartbeat was sent and expires on the member's own clock. While a new view
waits for its acknowledgements, a VM acts only on keys that both the prior
view and the new one place on it. Members whose lease has ended need not
acknowledge it.
"""

import math
import typing

from geraniumridge._internal.decisions import leadership
from geraniumridge._internal.models import membership
from geraniumridge._internal.utils import rendezvous

LEADER_TIMEOUT_HEARTBEATS = 3
"""Heartbeat intervals without contact after which a leader counts as
failed. Each VM adds its rank by name, so that they do not all claim at
once."""

CLAIM_TIMEOUT_HEARTBEATS = 1.0
"""Heartbeat intervals after which a claim ends with the answers received so
far; bounds the wait for VMs that don't answer."""

INQUIRY_EVERY_HEARTBEATS = 2
"""Heartbeat intervals between inquiries of a leader to VMs outside its view,
by which two cells of one domain find each other and merge."""

UNLISTED_GRACE_S = 10.0
"""Time without an entry in the platform's list after which the share of a VM
outside the view may go to the others."""


class SendHeartbeat(typing.NamedTuple):
    """Request to send a heartbeat to an address and report the answer."""

    address: str
    heartbeat: membership.Heartbeat


class SendClaim(typing.NamedTuple):
    """Request to send a claim to an address and report the answer."""

    address: str
    claim: membership.Claim


class _PendingClaim:
    """This VM's claim to lead, while answers are outstanding."""

    def __init__(self, number, addresses, deadline):
        self.number = number
        self.unanswered = set(addresses)
        self.deadline = deadline
        self.accepted = {}
        self.refused = False


class Cell:
    """Decisions of one VM in the cell of its failure domain.

    Parameters
    ----------
    me : membership.Member
        The VM itself.
    heartbeat_s : float
        Interval of heartbeats, in seconds.
    lease_s : float
        Length of a lease, in seconds.
    now : float
        Current time, in seconds.

    Notes
    -----
    `_accepted_number` is the highest view number that this VM claimed,
    accepted in a claim or adopted with a view; lower ones are refused.
    `_highest_seen_number` also includes numbers that other VMs merely
    mentioned; a new claim exceeds both. `_bases` are the sets of VMs between
    which the leader divides the domain's rate limits, and `_counted` tells
    whether the leader counts this VM in its share (see `leadership`).
    """

    def __init__(self, me, heartbeat_s, lease_s, now):
        self._me = me
        self._heartbeat_s = heartbeat_s
        self._lease_s = lease_s
        self._listed_vms = {}
        self._seeds = ()
        self._unlisted_since = {}
        self._accepted_number = 0
        self._highest_seen_number = 0
        self._view = None
        self._prior_view = None
        self._is_view_active = False
        self._lease_until = -math.inf
        self._share = 0.0
        self._last_leader_stamp = 0.0
        self._lease_dropped_at = -math.inf
        self._generation = 0
        self._bases = ()
        self._counted = False
        self._has_leader_resigned = False
        self._leader_address = ""
        self._last_contact_at = now
        self._next_heartbeat_at = now
        self._heartbeat_count = 0
        self._pending_claim = None
        self._leadership = None
        self._is_leaving = False

    @property
    def view(self):
        """The newest known view, or None."""
        if self._leadership is not None:
            return self._leadership.view
        return self._view

    @property
    def leader_address(self):
        """Address that heartbeats go to; empty while unknown."""
        return self._leader_address

    @property
    def is_leader(self):
        """Whether this VM leads its cell."""
        return self._leadership is not None

    @property
    def generation(self):
        """Number that grows when other VMs may have owned this VM's keys.

        What this VM knew about them, such as token buckets, is then out of
        date.
        """
        return self._generation

    @property
    def has_left(self):
        """Whether a VM that leaves is no longer in the view."""
        if self._leadership is not None:
            return False
        return (
            self._view is None or self._view.find_member(self._me.name) is None
        )

    def set_listed_vms(self, now, members):
        """Set the platform's list of this domain's VMs.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        members : dict of str to str
            Peer address by name of the VM.
        """
        for name in self._listed_vms.keys() - members.keys():
            self._unlisted_since.setdefault(name, now)
        for name in members:
            self._unlisted_since.pop(name, None)
        self._listed_vms = dict(members)

    def set_seeds(self, addresses):
        """Set addresses to try in addition to the platform's list."""
        self._seeds = tuple(addresses)

    def knows_leader(self, now):
        """Return whether this VM leads or had recent contact with its leader.

        Contact is recent within `LEADER_TIMEOUT_HEARTBEATS`.
        """
        if self._leadership is not None:
            return True
        leader_timeout_s = LEADER_TIMEOUT_HEARTBEATS * self._heartbeat_s
        return (
            self._view is not None
            and now - self._last_contact_at < leader_timeout_s
        )

    def owns(self, now, key):
        """Return whether this VM may act as the owner of a key now."""
        return self._may_act(now) and self.is_placed(key)

    def is_placed(self, key):
        """Return whether every view in use places a key on this VM."""
        views = (self.view, self._get_prior_view())
        return all(
            rendezvous.choose_node(key, view.names) == self._me.name
            for view in views
            if view is not None
        )

    def get_share(self, now):
        """Return the fraction of the domain's rate limits for this cell.

        It is 0 once the lease has expired, and below 1 while VMs of the
        domain may belong to another cell.
        """
        if self._leadership is not None:
            return self._leadership.get_share(now)
        return self._share if now < self._lease_until else 0.0

    def leads_domain_majority(self, now):
        """Return whether this VM leads most of its domain's VMs."""
        return (
            self._leadership is not None
            and self._leadership.leads_domain_majority(now)
        )

    def leave(self, now):
        """Start to leave the cell.

        A leader resigns at once; a member tells its leader with its next
        heartbeat.
        """
        self._is_leaving = True
        if self._leadership is not None:
            self._resign(now)

    def tick(self, now):
        """Do what is due and yield the messages to send.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Yields
        ------
        SendHeartbeat or SendClaim
        """
        if self._leadership is not None:
            long_unlisted = {
                name
                for name, since in self._unlisted_since.items()
                if now - since > UNLISTED_GRACE_S
            }
            self._leadership.tick(now, set(self._listed_vms), long_unlisted)
        if (
            self._pending_claim is not None
            and now >= self._pending_claim.deadline
        ):
            self._finish_claim(now)
        if now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at = now + self._heartbeat_s
        self._heartbeat_count += 1
        if self._leadership is not None:
            yield from self._send_inquiry()
        elif self._is_claim_due(now):
            yield from self._start_claim(now)
        elif self._pending_claim is None:
            yield from self._send_heartbeats()

    def handle_heartbeat(self, now, heartbeat):
        """Answer a heartbeat of another VM."""
        self._highest_seen_number = max(
            self._highest_seen_number, heartbeat.number
        )
        if self._leadership is not None:
            return self._leadership.handle_heartbeat(now, heartbeat)
        known = self.knows_leader(now)
        return membership.HeartbeatAnswer(
            False,
            self._highest_seen_number,
            self._guess_leader_address(now),
            resigned=self._is_leaving,
            view=self._view if known else None,
        )

    def handle_heartbeat_answer(self, now, sent_at, address, answer):
        """Process the answer to a heartbeat.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        sent_at : float
            When the heartbeat was sent, in seconds.
        address : str
            Address that it was sent to.
        answer : membership.HeartbeatAnswer
            The answer.

        Returns
        -------
        bool
            Whether to send the next heartbeat to the leader at once.
        """
        self._highest_seen_number = max(
            self._highest_seen_number, answer.number
        )
        if self._leadership is not None:
            return self._join_larger_cell(now, answer)
        if not answer.granted:
            return self._follow_redirect(now, address, answer)
        if sent_at <= self._lease_dropped_at:
            # This VM has since dropped the lease that the answer would renew.
            return False
        view = answer.view
        if self._view is not None and view.epoch < self._view.epoch:
            return False
        if view.number < self._accepted_number:
            # A later claim was accepted after this answer was sent.
            return False
        changed = self._adopt_view(now, view, answer.active)
        self._lease_until = sent_at + answer.lease_s
        self._last_contact_at = max(self._last_contact_at, sent_at)
        self._share = answer.share
        self._last_leader_stamp = max(self._last_leader_stamp, answer.stamp)
        base_changed = self._bases != answer.bases
        self._bases = answer.bases
        self._counted = answer.counted
        self._leader_address = address
        return changed or base_changed

    def handle_claim(self, now, claim):
        """Accept or refuse another VM's claim to lead."""
        if claim.number <= self._accepted_number or self.knows_leader(now):
            highest_number = max(
                self._highest_seen_number, self._accepted_number
            )
            return membership.ClaimAnswer(
                False, highest_number, self._guess_leader_address(now)
            )
        self._accepted_number = claim.number
        number, leader = self._view.epoch if self._view else (0, "")
        counted = self._counted
        self._drop_lease_and_leadership(now)
        self._view = None
        self._last_contact_at = now
        self._leader_address = claim.sender.address
        return membership.ClaimAnswer(
            True,
            claim.number,
            "",
            number,
            leader,
            self._is_leaving,
            self._bases,
            counted,
        )

    def handle_claim_answer(self, now, number, sender, answer):
        """Process a VM's answer to this VM's claim.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        number : int
            Number of the claim that was sent.
        sender : membership.Member
            The VM that answered.
        answer : membership.ClaimAnswer
            The answer.
        """
        self._highest_seen_number = max(
            self._highest_seen_number, answer.number
        )
        pending = self._pending_claim
        if pending is None or pending.number != number:
            return
        pending.unanswered.discard(sender.address)
        if answer.accepted:
            pending.accepted[sender] = answer
        else:
            pending.refused = True
            if answer.leader_address:
                self._leader_address = answer.leader_address
        if not pending.unanswered:
            self._finish_claim(now)

    def _may_act(self, now):
        """Return whether this VM may act on the keys placed on it.

        A member needs an unexpired lease; the leader, which grants the
        leases, holds none.
        """
        if self._leadership is None:
            return self._has_usable_view() and now < self._lease_until
        return self._leadership.is_active or self._get_prior_view() is not None

    def _has_usable_view(self):
        return self._is_view_active or self._prior_view is not None

    def _get_prior_view(self):
        if self._leadership is not None:
            return self._leadership.prior_view
        return self._prior_view

    def _guess_leader_address(self, now):
        """Return the leader's last known address if contact is recent."""
        if self._leadership is not None:
            return self._me.address
        leader_timeout_s = LEADER_TIMEOUT_HEARTBEATS * self._heartbeat_s
        recent = now - self._last_contact_at < leader_timeout_s
        return self._leader_address if recent else ""

    def _adopt_view(self, now, view, active):
        """Switch to a view and return whether it is a new one."""
        changed = self._view is None or view.epoch != self._view.epoch
        if changed:
            same_leader = (
                self._view is not None and self._view.leader == view.leader
            )
            had_lease = self._is_view_active and now < self._lease_until
            # The prior view restricts this VM until the new one is active.
            # If it had no usable view of the same leader, other VMs may have
            # owned its keys in the meantime, so the generation grows.
            if not (
                same_leader and (had_lease or self._prior_view is not None)
            ):
                self._prior_view = None
                self._generation += 1
            elif self._is_view_active:
                self._prior_view = self._view
            if not same_leader:
                self._last_leader_stamp = 0.0
            self._has_leader_resigned = False
            self._view = view
        self._is_view_active = active
        if active:
            self._prior_view = None
        self._accepted_number = max(self._accepted_number, view.number)
        return changed

    def _drop_lease_and_leadership(self, now):
        """Drop the lease, leadership, pending claim, prior view and share.

        The newest view is kept, but is no longer active. Answers to
        heartbeats sent up to now cannot renew the lease any more.
        """
        self._leadership = None
        self._pending_claim = None
        self._is_view_active = False
        self._prior_view = None
        self._lease_until = -math.inf
        self._share = 0.0
        self._last_leader_stamp = 0.0
        self._counted = False
        self._lease_dropped_at = now
        self._generation += 1

    def _follow_redirect(self, now, address, answer):
        """Return whether to send a heartbeat to a new leader at once.

        A redirect is followed only without recent contact with a leader. If
        the leader itself answers that it has resigned, it counts as failed.
        """
        if answer.resigned and address == self._leader_address:
            self._has_leader_resigned = True
            self._expire_leader_contact(now)
            return False
        if answer.leader_address and not self.knows_leader(now):
            address_changed = self._leader_address != answer.leader_address
            self._leader_address = answer.leader_address
            if answer.view is not None:
                # The sender follows that leader. This gives the leader the
                # rest of the timeout to answer before this VM claims.
                self._last_contact_at = max(
                    self._last_contact_at, now - self._heartbeat_s
                )
            return (
                address_changed and answer.leader_address != self._me.address
            )
        return False

    def _expire_leader_contact(self, now):
        """Treat the leader as failed, so that claims start by rank."""
        leader_timeout_s = LEADER_TIMEOUT_HEARTBEATS * self._heartbeat_s
        self._last_contact_at = min(
            self._last_contact_at, now - leader_timeout_s
        )

    def _is_claim_due(self, now):
        if self._pending_claim is not None or self._is_leaving:
            return False
        candidates = {*self._listed_vms, self._me.name}
        if self._view is not None:
            candidates.discard(self._view.leader)
        candidates.add(self._me.name)
        names = sorted(candidates)
        rank = names.index(self._me.name)
        silent_s = now - self._last_contact_at
        wait_heartbeats = LEADER_TIMEOUT_HEARTBEATS + rank
        return silent_s >= wait_heartbeats * self._heartbeat_s

    def _get_peer_addresses(self):
        addresses = dict(self._listed_vms)
        if self._view is not None:
            for member in self._view.members:
                addresses[member.name] = member.address
        addresses.pop(self._me.name, None)
        known = {*addresses.values(), self._me.address}
        for address in self._seeds:
            if address not in known:
                addresses[f"seed {address}"] = address
        return addresses

    def _start_claim(self, now):
        self._accepted_number = (
            max(self._accepted_number, self._highest_seen_number) + 1
        )
        peers = self._get_peer_addresses().values()
        deadline = now + CLAIM_TIMEOUT_HEARTBEATS * self._heartbeat_s
        self._pending_claim = _PendingClaim(
            self._accepted_number, peers, deadline
        )
        claim = membership.Claim(self._me, self._accepted_number)
        if not self._pending_claim.unanswered:
            self._finish_claim(now)
        for address in peers:
            yield SendClaim(address, claim)

    def _finish_claim(self, now):
        pending, self._pending_claim = self._pending_claim, None
        self._last_contact_at = now
        if pending.refused or pending.number != self._accepted_number:
            if self._has_leader_resigned and self._view is not None:
                # The others are about to learn of the resignation; retry
                # after the delay by rank alone.
                self._expire_leader_contact(now)
            return
        prior_state = leadership.PriorState(
            self._have_earlier_views_ended(pending),
            self._had_no_earlier_view(pending),
            frozenset(
                sender.name
                for sender, answer in pending.accepted.items()
                if answer.leaving
            ),
            self._list_counted_names(pending),
        )
        answers = pending.accepted.values()
        bases = set(self._bases).union(*(item.bases for item in answers))
        members = [
            sender
            for sender in (self._me, *pending.accepted)
            if sender.name not in prior_state.departed
        ]
        self._drop_lease_and_leadership(now)
        self._view = None
        self._leadership = leadership.Leadership(
            self._me,
            pending.number,
            members,
            bases,
            self._lease_s,
            now,
            prior_state,
        )

    def _list_counted_names(self, pending):
        """Return the names that their last leader counted in its share."""
        names = {
            sender.name
            for sender, answer in pending.accepted.items()
            if answer.counted
        }
        if self._counted:
            names.add(self._me.name)
        return frozenset(names)

    def _had_no_earlier_view(self, pending):
        """Return whether all listed VMs accepted and none ever had a view."""
        answers = pending.accepted.values()
        names = {member.name for member in pending.accepted}
        names.add(self._me.name)
        return (
            self._view is None
            and not self._bases
            and bool(self._listed_vms)
            and names >= self._listed_vms.keys()
            and not any(item.bases or item.epoch_number for item in answers)
        )

    def _have_earlier_views_ended(self, pending):
        """Return whether no other VM can act under an earlier view.

        That holds if all members of the newest view and of its prior view
        accepted the claim, and none of them knew a later view. Without a
        view, it holds if there never was one.
        """
        names = {member.name for member in pending.accepted}
        names.add(self._me.name)
        answers = pending.accepted.values()
        epochs = [(item.epoch_number, item.epoch_leader) for item in answers]
        if self._view is None:
            return self._had_no_earlier_view(pending)
        if any(epoch > self._view.epoch for epoch in epochs):
            return False
        prior_names = set(self._view.names)
        if self._prior_view is not None:
            prior_names |= self._prior_view.names
        prior_names.add(self._view.leader)
        return names >= prior_names

    def _send_heartbeats(self):
        """Yield heartbeats to the leader, or to all while it is unknown.

        Without a view every other heartbeat also goes to all, in case the
        known address is out of date.
        """
        addresses = [self._leader_address]
        if not self._leader_address:
            addresses = list(self._get_peer_addresses().values())
        elif self._view is None and self._heartbeat_count % 2:
            addresses += self._get_peer_addresses().values()
        for address in dict.fromkeys(addresses):
            if address and address != self._me.address:
                yield SendHeartbeat(address, self.make_heartbeat())

    def make_heartbeat(self):
        """Return a heartbeat with this VM's current state."""
        number, leader = self._accepted_number, ""
        if self._view is not None:
            number, leader = self._view.epoch
        return membership.Heartbeat(
            self._me,
            number,
            leader,
            self._last_leader_stamp,
            self._is_leaving,
            max((base.number for base in self._bases), default=0),
        )

    def _send_inquiry(self):
        """Yield an inquiry to the next known VM outside the view."""
        if self._heartbeat_count % INQUIRY_EVERY_HEARTBEATS:
            return
        names = self._leadership.view.names
        outside = [
            address
            for name, address in sorted(self._get_peer_addresses().items())
            if name not in names
        ]
        if outside:
            turn = self._heartbeat_count // INQUIRY_EVERY_HEARTBEATS
            address = outside[turn % len(outside)]
            yield SendHeartbeat(address, self._make_inquiry())

    def _make_inquiry(self):
        """Return a heartbeat that asks for the view without joining."""
        number = self._leadership.view.number
        return membership.Heartbeat(
            self._me, number, self._me.name, 0.0, False, 0, inquiry=True
        )

    def _join_larger_cell(self, now, answer):
        """Return whether this VM resigned to follow a larger cell.

        It does if the answer names another leader with a larger cell, or one
        of the same size whose leader has the lower name.
        """
        other = answer.view
        mine = self._leadership.view
        if other is None or other.leader == self._me.name:
            return False
        ours = (len(mine.members), _make_reverse_key(mine.leader))
        theirs = (len(other.members), _make_reverse_key(other.leader))
        if theirs <= ours:
            return False
        self._resign(now)
        self._last_contact_at = now
        self._leader_address = answer.leader_address
        return True

    def _resign(self, now):
        self._bases = self._leadership.list_announced_bases()
        number = self._leadership.view.number
        self._accepted_number = max(self._accepted_number, number)
        self._drop_lease_and_leadership(now)
        self._view = None
        self._leader_address = ""


def _make_reverse_key(name):
    """Return a sort key that orders names from last to first.

    The final element sorts a name after longer names that begin with it.
    """
    return [-ord(letter) for letter in name] + [1]
