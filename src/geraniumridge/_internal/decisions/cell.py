"""State machine of one VM in the leader election of its cell.

A cell is the VMs of one failure domain that follow one leader. A VM looks
for a leader, follows it with heartbeats, or claims to lead with a number
that is higher than all it has seen. The leader issues views, numbered lists
of members; keys are placed on the members by rendezvous hashing.

This module holds the transitions. What a VM has as a member is in
`view_lease` and `leader_contact`, as a candidate in `pending_claim`, as the
leader in `leadership`. While a new view waits for its acknowledgements, a VM
acts only on keys that both the prior view and the new one place on it.
Members whose lease has ended need not acknowledge it.
"""

from geraniumridge._internal.decisions import cell_merge
from geraniumridge._internal.decisions import cell_messages
from geraniumridge._internal.decisions import known_vms
from geraniumridge._internal.decisions import leader_contact
from geraniumridge._internal.decisions import leadership
from geraniumridge._internal.decisions import pending_claim
from geraniumridge._internal.decisions import view_lease
from geraniumridge._internal.decisions import view_numbers
from geraniumridge._internal.models import membership
from geraniumridge._internal.utils import rendezvous

INQUIRY_EVERY_HEARTBEATS = 2
"""Heartbeat intervals between inquiries of a leader to VMs outside its view,
by which two cells of one domain find each other and merge."""


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
    Without `_leadership` this VM is a member or looks for a leader; `_lease`
    and `_contact` tell its state then.
    """

    def __init__(self, me, heartbeat_s, lease_s, now):
        self._me = me
        self._heartbeat_s = heartbeat_s
        self._lease_s = lease_s
        self._vms = known_vms.KnownVms(me)
        self._lease = view_lease.ViewLease()
        self._contact = leader_contact.LeaderContact(heartbeat_s, now)
        self._pending_claim = None
        self._leadership = None
        self._numbers = view_numbers.ViewNumbers()
        self._next_heartbeat_at = now
        self._heartbeat_count = 0
        self._is_leaving = False

    @property
    def view(self):
        """The newest known view, or None."""
        if self._leadership is not None:
            return self._leadership.view
        return self._lease.view

    @property
    def leader_address(self):
        """Address that heartbeats go to; empty while unknown."""
        return self._contact.address

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
        return self._lease.generation

    @property
    def has_left(self):
        """Whether a VM that leaves is no longer in the view."""
        if self._leadership is not None:
            return False
        view = self._lease.view
        return view is None or view.find_member(self._me.name) is None

    def set_listed_vms(self, now, members):
        """Set the platform's list of this domain's VMs.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        members : dict of str to str
            Peer address by name of the VM.
        """
        self._vms.set_listed(now, members)

    def set_seeds(self, addresses):
        """Set addresses to try in addition to the platform's list."""
        self._vms.set_seeds(addresses)

    def knows_leader(self, now):
        """Return whether this VM leads or had recent contact with its leader.

        Contact is recent within `leader_contact.LEADER_TIMEOUT_HEARTBEATS`.
        """
        if self._leadership is not None:
            return True
        return self._lease.view is not None and self._contact.is_recent(now)

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
        return self._lease.get_share(now)

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
        cell_messages.SendHeartbeat or cell_messages.SendClaim
        """
        if self._leadership is not None:
            self._leadership.tick(
                now, self._vms.listed, self._vms.list_long_unlisted(now)
            )
        if self._pending_claim is not None and self._pending_claim.is_expired(
            now
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
        self._numbers.note_seen(heartbeat.number)
        if self._leadership is not None:
            return self._leadership.handle_heartbeat(now, heartbeat)
        known = self.knows_leader(now)
        return membership.HeartbeatAnswer(
            False,
            self._numbers.highest_seen,
            self._guess_leader_address(now),
            resigned=self._is_leaving,
            view=self._lease.view if known else None,
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
        self._numbers.note_seen(answer.number)
        if self._leadership is not None:
            return self._join_larger_cell(now, answer)
        if not answer.granted:
            return self._follow_redirect(now, address, answer)
        if self._lease.was_dropped_since(sent_at):
            return False
        if answer.view.epoch < self._lease.epoch:
            return False
        if answer.view.number < self._numbers.accepted:
            # A later claim was accepted after this answer was sent.
            return False
        return self._accept_grant(now, sent_at, address, answer)

    def handle_claim(self, now, claim):
        """Accept or refuse another VM's claim to lead."""
        if claim.number <= self._numbers.accepted or self.knows_leader(now):
            return membership.ClaimAnswer(
                False, self._numbers.highest, self._guess_leader_address(now)
            )
        self._numbers.accept(claim.number)
        number, leader = self._lease.epoch
        is_counted = self._lease.is_counted
        self._drop_roles(now)
        self._contact.restart_timeout(now)
        self._contact.set_address(claim.sender.address)
        return membership.ClaimAnswer(
            True,
            claim.number,
            "",
            number,
            leader,
            self._is_leaving,
            self._lease.bases,
            is_counted,
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
        self._numbers.note_seen(answer.number)
        pending = self._pending_claim
        if pending is None or pending.number != number:
            return
        pending.note_answer(sender, answer)
        if not answer.accepted and answer.leader_address:
            self._contact.set_address(answer.leader_address)
        if pending.is_answered:
            self._finish_claim(now)

    def make_heartbeat(self):
        """Return a heartbeat with this VM's current state."""
        return cell_messages.make_heartbeat(
            self._me, self._lease, self._numbers.accepted, self._is_leaving
        )

    def _may_act(self, now):
        """Return whether this VM may act on the keys placed on it.

        A member needs an unexpired lease; the leader, which grants the
        leases, holds none.
        """
        if self._leadership is None:
            return self._lease.may_act(now)
        return self._leadership.is_active or self._get_prior_view() is not None

    def _get_prior_view(self):
        if self._leadership is not None:
            return self._leadership.prior_view
        return self._lease.prior_view

    def _guess_leader_address(self, now):
        """Return the leader's last known address if contact is recent."""
        if self._leadership is not None:
            return self._me.address
        return self._contact.guess_address(now)

    def _accept_grant(self, now, sent_at, address, answer):
        """Renew the lease and return whether the view or a base is new."""
        view = answer.view
        is_view_new = self._lease.adopt_view(now, view, answer.active)
        if is_view_new:
            self._contact.forget_resignation()
        self._numbers.accept(view.number)
        have_bases_changed = self._lease.renew(sent_at, answer)
        self._contact.note_contact(sent_at, address)
        return is_view_new or have_bases_changed

    def _drop_roles(self, now):
        """Drop the lease, leadership and pending claim."""
        self._leadership = None
        self._pending_claim = None
        self._lease.drop(now)

    def _follow_redirect(self, now, address, answer):
        """Return whether to send a heartbeat to a new leader at once.

        A redirect is followed only without recent contact with a leader. If
        the leader itself answers that it has resigned, it counts as failed.
        """
        if answer.resigned and address == self._contact.address:
            self._contact.note_resignation(now)
            return False
        if not answer.leader_address or self.knows_leader(now):
            return False
        is_new_address = self._contact.address != answer.leader_address
        if answer.view is not None:
            # The sender follows that leader.
            self._contact.note_redirect(now, answer.leader_address)
        else:
            self._contact.set_address(answer.leader_address)
        return is_new_address and answer.leader_address != self._me.address

    def _is_claim_due(self, now):
        if self._pending_claim is not None or self._is_leaving:
            return False
        candidates = self._vms.listed
        if self._lease.view is not None:
            candidates.discard(self._lease.view.leader)
        candidates.add(self._me.name)
        rank = sorted(candidates).index(self._me.name)
        return self._contact.is_claim_due(now, rank)

    def _get_peer_addresses(self):
        return self._vms.get_peer_addresses(self._lease.view)

    def _start_claim(self, now):
        number = self._numbers.take_next()
        peers = self._get_peer_addresses().values()
        claim_timeout_s = (
            pending_claim.CLAIM_TIMEOUT_HEARTBEATS * self._heartbeat_s
        )
        self._pending_claim = pending_claim.PendingClaim(
            self._me, number, peers, now + claim_timeout_s
        )
        claim = membership.Claim(self._me, number)
        if self._pending_claim.is_answered:
            self._finish_claim(now)
        for address in peers:
            yield cell_messages.SendClaim(address, claim)

    def _finish_claim(self, now):
        pending, self._pending_claim = self._pending_claim, None
        self._contact.restart_timeout(now)
        if pending.is_refused or pending.number != self._numbers.accepted:
            if self._contact.has_resigned and self._lease.view is not None:
                # The others are about to learn of the resignation; retry
                # after the delay by rank alone.
                self._contact.expire(now)
            return
        prior_state = pending.make_prior_state(self._lease, self._vms.listed)
        self._drop_roles(now)
        self._leadership = leadership.Leadership(
            self._me,
            pending.number,
            pending.list_members(),
            pending.list_bases(self._lease),
            self._lease_s,
            now,
            prior_state,
        )

    def _send_heartbeats(self):
        """Yield heartbeats to the leader, or to all while it is unknown.

        Without a view every other heartbeat also goes to all, in case the
        known address is out of date.
        """
        addresses = [self._contact.address]
        if not self._contact.address:
            addresses = list(self._get_peer_addresses().values())
        elif self._lease.view is None and self._heartbeat_count % 2:
            addresses += self._get_peer_addresses().values()
        for address in dict.fromkeys(addresses):
            if address and address != self._me.address:
                yield cell_messages.SendHeartbeat(
                    address, self.make_heartbeat()
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
            inquiry = cell_messages.make_inquiry(
                self._me, self._leadership.view.number
            )
            yield cell_messages.SendHeartbeat(address, inquiry)

    def _join_larger_cell(self, now, answer):
        """Return whether this VM resigned to follow a larger cell.

        It does if the answer names another leader whose cell outranks its
        own.
        """
        other = answer.view
        mine = self._leadership.view
        if other is None or other.leader == self._me.name:
            return False
        if not cell_merge.outranks(other, mine):
            return False
        self._resign(now)
        self._contact.restart_timeout(now)
        self._contact.set_address(answer.leader_address)
        return True

    def _resign(self, now):
        self._lease.set_bases(self._leadership.list_announced_bases())
        self._numbers.accept(self._leadership.view.number)
        self._drop_roles(now)
        self._contact.set_address("")
