"""View of the platform's store at a revision that never decreases.

A store that was restored from a backup begins a new era; revisions are ordered
by their era first (`models.revisions`). ``docs/design/store-eras.md`` says
what of a former era is kept.
"""

import math
import typing

from geraniumridge._internal.decisions import change_log
from geraniumridge._internal.decisions import former_era
from geraniumridge._internal.decisions import promotion_orders
from geraniumridge._internal.decisions import roster
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import revisions

REREGISTRATION_GRACE_S = 2.0
"""How long after an outage of the store targets whose entries expired may
take to register again; from the platform's description of service
discovery."""

REMOVED_RETENTION_S = 60.0
"""How long removed members and targets are remembered."""

MAX_UNNOTICED_GAP_S = 3.9
"""Longest time without a complete view in which no member can have joined
and left unnoticed; shorter than a member's lease
(`proxy.membership.LEASE_DURATION_S`)."""


class Evacuation(typing.NamedTuple):
    """Operator's order to send no traffic to a failure domain."""

    domain: str


class RemovedTarget(typing.NamedTuple):
    """A target whose entry was removed, and when that was seen.

    `was_registered` is false of one that had left before this view began,
    which is known from its group's `fleet.TargetSet` only.
    """

    target: desired.Target
    seen_at: float
    was_registered: bool = True


class Restart(typing.NamedTuple):
    """A target's start under the id that it had, and when that was seen.

    `revision` is that of the store's change that showed it.
    """

    seen_at: float
    revision: int


class RunEnd(typing.NamedTuple):
    """The newest end of a VM's run, and when that was seen.

    A run of the daemon ends when its registration does, or when the VM
    registers another run. `revision` is that of the store's change.
    """

    seen_at: float
    revision: int


class SeenOrder(typing.NamedTuple):
    """A group's newest `fleet.PromotionOrder`.

    `seen_at` is the clock time in seconds at which this view saw it, after
    the store had recorded it.
    """

    order: fleet.PromotionOrder
    seen_at: float


class Entry(typing.NamedTuple):
    """A key's revision and decoded value, None if it cannot be decoded."""

    revision: int
    record: typing.Any


class View:
    """Desired state, targets, evacuations, leadership and members.

    Parameters
    ----------
    decode : callable
        Returns the typed record of a key and value, or None if the value
        cannot be used.
    """

    def __init__(self, decode):
        self._decode = decode
        self._revision = 0
        self._last_change_revision = 0
        self._entries = {}
        self._state = None
        self._targets = {}
        self._groups = {}
        self._evacuated = set()
        self._roster = roster.Roster()
        self._change_log = change_log.ChangeLog()
        self._lead_revisions = {}
        self._former_era = former_era.FormerEra()
        self._lost_orders = set()
        self._acknowledgements = {}
        self._orders = {}
        self._usage_records = {}
        self._draining_since = {}
        self._expiry_deadlines = {}
        self._lost_evacuations = {}
        self._removed_targets = {}
        self._restarts = {}
        self._complete_since = None
        self._outage_ended_at = None
        self._last_run_end = None

    @property
    def revision(self):
        """Revision of the store that the view has reached."""
        return self._revision

    @property
    def era(self):
        """Era of the store at `revision`, 0 if the store tells none."""
        return revisions.get_era(self._revision)

    @property
    def era_began_at(self):
        """Clock time at which this view first saw the era, None in era 0."""
        return self._former_era.ended_at

    @property
    def change_log(self):
        """The `change_log.ChangeLog` that leads up to `revision`."""
        return self._change_log

    @property
    def last_change_revision(self):
        """Revision of the last change up to `revision`.

        After a listing, which does not tell, it is the listing's revision.
        """
        return self._last_change_revision

    @property
    def state(self):
        """The newest `desired.DesiredState`, or None."""
        return self._state

    @property
    def targets(self):
        """Registered `desired.Target` by id."""
        return self._targets

    @property
    def evacuated(self):
        """Names of the failure domains that operators have evacuated."""
        return self._evacuated

    @property
    def members(self):
        """Live `fleet.Member` by VM."""
        return self._roster.members

    @property
    def roster(self):
        """The `roster.Roster` of members, present and former."""
        return self._roster

    @property
    def complete_since(self):
        """Clock time since which no change can have been missed, or None."""
        return self._complete_since

    @property
    def last_run_end(self):
        """The newest `RunEnd`, or None before the first listing.

        A listing that follows a gap counts as one, as runs may have ended
        unnoticed.
        """
        return self._last_run_end

    def get_lead(self, group):
        """Return a group's `fleet.Lead`, or None.

        One of a former era is pending, with the newest known primary of that
        time; see `is_lead_copied`.
        """
        entry = self._entries.get(fleet.make_lead_key(group))
        if entry is not None:
            return entry.record
        # The record may have been written after the backup was made.
        return fleet.UNREADABLE_LEAD if self.era else None

    def is_lead_copied(self, group):
        """Return whether the present era has no leadership record of a group.

        The store then has none, or one that it was restored with, which may
        name a former primary.
        """
        if not self.era:
            return False
        has_entry = fleet.make_lead_key(group) in self._entries
        return not has_entry or self._former_era.is_lead_copied(group)

    def get_former_lead(self, group):
        """Return the `former_era.FormerLead` that this view saw, or None.

        Only of a group whose primary was settled when the era ended, and
        until the present era has a leadership record of the group.
        """
        return self._former_era.leads.get(group)

    def may_have_unseen_order(self, group, now):
        """Return whether an order that this view lacks may be carried out.

        The store may have lost its record in a restore. Not if this view
        showed shortly before that no failover was in progress, as none has
        sent an order since; nor once the present era has a primary of the
        group.
        """
        return self._former_era.may_have_unseen_order(group, now)

    def list_groups_with_former_lead(self):
        """Return the groups that have a `former_era.FormerLead`."""
        return list(self._former_era.leads)

    def get_revision(self, key):
        """Return a key's revision, 0 if it does not exist."""
        entry = self._entries.get(key)
        return entry.revision if entry else 0

    def list_group(self, group):
        """Return the registered targets of a group."""
        return list(self._groups.get(group, {}).values())

    def find_recently_removed(self, target_id, now, within_s):
        """Return a target that this view saw removed recently, or None.

        Parameters
        ----------
        target_id : str
            Id of the target.
        now : float
            Clock time, in seconds.
        within_s : float
            Longest time since the removal, in seconds.
        """
        item = self._removed_targets.get(target_id)
        if item is None or not item.was_registered:
            return None
        return item.target if now - item.seen_at <= within_s else None

    def find_departed(self, target_id):
        """Return a target that was removed, at whatever time, or None."""
        item = self._removed_targets.get(target_id)
        return item.target if item else None

    def get_removal_time(self, target_id):
        """Return the clock time at which a target was removed, or None.

        None while the target is registered, and once it is forgotten.
        """
        item = self._removed_targets.get(target_id)
        if item is None or target_id in self._targets:
            return None
        return item.seen_at

    def get_draining_s(self, target_id, now):
        """Return for how long a target has been draining, in seconds.

        That is since this view first showed it; 0 of a target that is not.
        """
        since = self._draining_since.get(target_id)
        return 0.0 if since is None else now - since

    def get_restart(self, target_id):
        """Return a target's newest `Restart`.

        None unless it started again under its id, and once the target is
        forgotten.
        """
        return self._restarts.get(target_id)

    def list_recently_removed(self, group, now, within_s):
        """Return a group's targets that were removed recently."""
        return [
            item.target
            for item in self._removed_targets.values()
            if item.target.group == group
            and item.target.id not in self._targets
            and now - item.seen_at <= within_s
        ]

    def get_target_set(self, group):
        """Return a group's `fleet.TargetSet`, or None."""
        entry = self._entries.get(fleet.make_targets_key(group))
        return entry.record if entry else None

    def get_order(self, group):
        """Return a group's `SeenOrder`, or None."""
        return self._orders.get(group)

    @property
    def usage_reporter(self):
        """The `fleet.UsageReporter`, or None."""
        entry = self._entries.get(fleet.USAGE_REPORTER_KEY)
        return entry.record if entry else None

    @property
    def usage_records(self):
        """The `fleet.UsageRecord` of each recorded window."""
        return self._usage_records

    def list_acknowledgements(self, group):
        """Return the acknowledgements of a group's failovers, by VM."""
        return self._acknowledgements.get(group, {})

    def list_groups_with_newer_lead(self, revision):
        """Return the groups whose leadership record is newer."""
        return [
            group
            for group, item in self._lead_revisions.items()
            if item > revision
        ]

    def replace(self, now, listing, confirmed_at=-math.inf):
        """Replace the view with a listing of the whole store.

        Parameters
        ----------
        now : float
            Clock time, in seconds.
        listing : ports.store.Listing
            All keys; ignored if older than the view.
        confirmed_at : float
            Clock time, in seconds, up to which the view was known to be
            complete; minus infinity if it never was.

        Returns
        -------
        bool
            Whether the listing was applied.
        """
        if listing.revision < self._revision:
            return False
        is_new_era = self._begins_era(listing.revision)
        if is_new_era:
            self._begin_era(now, confirmed_at)
        if (
            is_new_era
            or self._complete_since is None
            or now - confirmed_at > MAX_UNNOTICED_GAP_S
        ):
            self._complete_since = now
            self._last_run_end = RunEnd(now, listing.revision)
        present = {item.key for item in listing.items}
        for key in list(self._entries.keys() - present):
            self._note_run_end(now, key, None, listing.revision)
            if is_new_era and self._keep_lost(now, key):
                continue
            self._delete_entry(now, key)
        for item in listing.items:
            self._apply_item(now, item)
        self._revision = listing.revision
        self._last_change_revision = listing.revision
        self._roster.note_listing(now)
        self._change_log.restart(listing.revision)
        return True

    def _begins_era(self, revision):
        """Return whether a listing is the first of a later era."""
        era = revisions.get_era(revision)
        return era > 0 and (self.era_began_at is None or era > self.era)

    def _begin_era(self, now, confirmed_at):
        """Set aside what held in the former era, which has ended.

        Its changes after `confirmed_at` are not known.
        """
        leads = {
            fleet.parse_lead_group(key): entry.record
            for key, entry in self._entries.items()
            if isinstance(entry.record, fleet.Lead)
        }
        self._former_era.end(now, leads, confirmed_at, self._state)
        # What operators and targets wrote since the backup returns.
        self.note_outage_end(now)

    def _keep_lost(self, now, key):
        """Keep what a restored store has lost, where that still counts.

        Returns
        -------
        bool
            Whether the entry stays. Its key does not exist in the store.
        """
        record = self._entries[key].record
        if isinstance(record, fleet.Lead):
            self._entries[key] = Entry(0, _suspend_lead(record))
            self._former_era.note_copied_lead(fleet.parse_lead_group(key))
            return True
        if isinstance(record, Evacuation):
            self._entries[key] = Entry(0, record)
            deadline = now + REREGISTRATION_GRACE_S
            self._lost_evacuations[key] = deadline
            return True
        if isinstance(record, fleet.PromotionOrder):
            self._entries[key] = Entry(0, record)
            self._lost_orders.add(key)
            return True
        return False

    def apply(self, now, changes):
        """Apply the changes that follow the view's revision.

        Earlier ones, of an answer that another one has overtaken, are
        ignored: the view no longer knows the keys deleted since.
        """
        newer = sorted(
            (item for item in changes.items if item.revision > self._revision),
            key=lambda item: item.revision,
        )
        self._change_log.add(now, newer)
        for item in newer:
            self._apply_item(now, item)
            self._last_change_revision = max(
                self._last_change_revision, item.revision
            )
        self._revision = max(self._revision, changes.revision)

    def note_outage_end(self, now):
        """Record that the store answers again after an outage."""
        self._outage_ended_at = now

    def expire(self, now):
        """Remove targets that did not register again, and old history."""
        self._roster.expire(now, REMOVED_RETENTION_S)
        for target_id, item in list(self._removed_targets.items()):
            if now - item.seen_at > REMOVED_RETENTION_S:
                del self._removed_targets[target_id]
        for target_id in list(self._restarts):
            is_known = (
                target_id in self._targets
                or target_id in self._removed_targets
            )
            if not is_known:
                del self._restarts[target_id]
        for expired_id, deadline in list(self._expiry_deadlines.items()):
            if now >= deadline:
                del self._expiry_deadlines[expired_id]
                self._drop_target(now, expired_id)
        self._expire_lost_orders(now)
        for key, deadline in list(self._lost_evacuations.items()):
            if now >= deadline:
                del self._lost_evacuations[key]
                self._delete_entry(now, key)

    def _expire_lost_orders(self, now):
        """Forget lost orders that can have no effect any more."""
        for key in list(self._lost_orders):
            group = fleet.parse_order_group(key)
            outstanding = promotion_orders.find_outstanding(
                self._orders.get(group), now
            )
            if outstanding is None and not self.get_lead(group).is_pending:
                self._lost_orders.discard(key)
                self._delete_entry(now, key)

    def _apply_item(self, now, item):
        known = self._entries.get(item.key)
        if known is not None and item.revision <= known.revision:
            return
        if item.value is None:
            self._note_run_end(now, item.key, None, item.revision)
            self._delete_entry(now, item.key)
            return
        record = self._decode(item.key, item.value)
        self._note_run_end(now, item.key, record, item.revision)
        record = self._keep_newer(item, record, known)
        if known is not None and type(record) is not type(known.record):
            self._discard_record(now, item.key, known.record)
        self._entries[item.key] = Entry(item.revision, record)
        self._add_record(now, item, record)

    def _keep_newer(self, item, record, known):
        """Return the record to use, which may be an earlier one of the key.

        A restored store has copies of records that this view knows to be
        outdated.
        """
        known_record = known.record if known is not None else None
        self._lost_evacuations.pop(item.key, None)
        self._lost_orders.discard(item.key)
        if isinstance(record, fleet.Lead):
            return self._keep_newer_lead(item, record, known_record)
        if isinstance(record, desired.DesiredState):
            return self._former_era.choose_state(record, self._state)
        if isinstance(record, fleet.PromotionOrder):
            return self._keep_newer_order(item, record, known_record)
        if isinstance(record, desired.Target) and known is not None:
            former = revisions.get_era(known.revision)
            if former < revisions.get_era(item.revision):
                return former_era.choose_target(record, known_record)
        return record

    def _keep_newer_order(self, item, order, known_record):
        fence_era = revisions.get_era(order.fence)
        is_copy = fence_era < revisions.get_era(item.revision)
        if not is_copy or order is fleet.UNREADABLE_ORDER:
            return order
        group = fleet.parse_order_group(item.key)
        return self._former_era.choose_order(group, order, known_record)

    def _keep_newer_lead(self, item, lead, known_record):
        group = fleet.parse_lead_group(item.key)
        if lead.era < revisions.get_era(item.revision):
            self._former_era.note_copied_lead(group)
            if isinstance(known_record, fleet.Lead):
                return _suspend_lead(known_record)
            return _suspend_lead(lead)
        if lead is fleet.UNREADABLE_LEAD and known_record is not None:
            return _suspend_lead(known_record)
        self._former_era.note_present_lead(group, lead)
        return lead

    def _note_run_end(self, now, key, record, revision):
        """Record that a VM's run has ended, if a new record shows that."""
        known = self._entries.get(key)
        if known is None or not isinstance(known.record, fleet.Member):
            return
        boot = record.boot if isinstance(record, fleet.Member) else None
        if boot != known.record.boot:
            self._last_run_end = RunEnd(now, revision)

    def _delete_entry(self, now, key):
        known = self._entries.pop(key, None)
        if known is not None:
            self._discard_record(now, key, known.record)

    def _add_record(self, now, item, record):
        if isinstance(record, desired.DesiredState):
            self._state = record
        elif isinstance(record, desired.Target):
            self._note_restart(now, item.revision, record)
            self._note_draining(now, record)
            self._add_target(record)
        elif isinstance(record, Evacuation):
            self._evacuated.add(record.domain)
        elif isinstance(record, fleet.Member):
            self._roster.put(record, now)
        elif isinstance(record, fleet.Lead):
            group = fleet.parse_lead_group(item.key)
            self._lead_revisions[group] = item.revision
        elif isinstance(record, fleet.Acknowledgement):
            group = fleet.parse_acknowledgement_group(item.key)
            self._acknowledgements.setdefault(group, {})[record.vm] = record
        elif isinstance(record, fleet.PromotionOrder):
            group = fleet.parse_order_group(item.key)
            self._orders[group] = SeenOrder(record, now)
        elif isinstance(record, fleet.UsageRecord):
            window = fleet.parse_usage_window(item.key)
            if window is not None:
                self._usage_records[window] = record
        elif isinstance(record, fleet.TargetSet):
            group = fleet.parse_targets_group(item.key)
            self._note_departed_targets(now, group, record)

    def _note_departed_targets(self, now, group, target_set):
        """Record as removed the targets that left before this view began.

        Those that are registered, or are read later from the same listing,
        are no longer listed as removed.
        """
        for recorded in target_set.targets:
            is_known = (
                recorded.id in self._targets
                or recorded.id in self._removed_targets
            )
            if not is_known:
                self._removed_targets[recorded.id] = RemovedTarget(
                    _make_departed_target(group, recorded),
                    now,
                    was_registered=False,
                )

    def _discard_record(self, now, key, record):
        if isinstance(record, desired.Target):
            self._withdraw_target(now, record)
        elif isinstance(record, Evacuation):
            self._evacuated.discard(record.domain)
        elif isinstance(record, fleet.Member):
            self._roster.remove(record.vm, now)
        elif isinstance(record, fleet.Acknowledgement):
            group = fleet.parse_acknowledgement_group(key)
            self._acknowledgements.get(group, {}).pop(record.vm, None)
        elif isinstance(record, fleet.PromotionOrder):
            self._orders.pop(fleet.parse_order_group(key), None)
        elif isinstance(record, fleet.UsageRecord):
            self._usage_records.pop(fleet.parse_usage_window(key), None)

    def _note_restart(self, now, revision, target):
        known = self._targets.get(target.id) or self.find_departed(target.id)
        if known is None or not known.started_ms:
            return
        if known.started_ms != target.started_ms:
            self._restarts[target.id] = Restart(now, revision)

    def _note_draining(self, now, target):
        if target.is_draining:
            self._draining_since.setdefault(target.id, now)
        else:
            self._draining_since.pop(target.id, None)

    def _add_target(self, target):
        known = self._targets.get(target.id)
        if known is not None and known.group != target.group:
            del self._groups[known.group][target.id]
        self._targets[target.id] = target
        self._groups.setdefault(target.group, {})[target.id] = target
        self._expiry_deadlines.pop(target.id, None)

    def _withdraw_target(self, now, target):
        if self._is_in_reregistration_grace(now):
            deadline = self._outage_ended_at + REREGISTRATION_GRACE_S
            self._expiry_deadlines[target.id] = deadline
            return
        self._drop_target(now, target.id)

    def _drop_target(self, now, target_id):
        target = self._targets.pop(target_id, None)
        self._draining_since.pop(target_id, None)
        if target is not None:
            del self._groups[target.group][target_id]
            self._removed_targets[target_id] = RemovedTarget(target, now)

    def _is_in_reregistration_grace(self, now):
        """Return whether an outage ended within `REREGISTRATION_GRACE_S`."""
        if self._outage_ended_at is None:
            return False
        return now - self._outage_ended_at < REREGISTRATION_GRACE_S


def _suspend_lead(former):
    """Return the record to use in place of one that cannot be decoded.

    It keeps the primary that the former one names, as a failover in progress
    that nobody runs.
    """
    if not isinstance(former, fleet.Lead):
        return fleet.UNREADABLE_LEAD
    return former._replace(holder="", is_pending=True)


def _make_departed_target(group, recorded):
    """Return a target of which only identity and address are known."""
    return desired.Target(
        id=recorded.id,
        group=group,
        address=recorded.address,
        domain=recorded.domain,
        slots=1,
        is_draining=True,
        warmup_left_s=0.0,
        role=desired.Role.REPLICA,
        started_ms=0,
    )
