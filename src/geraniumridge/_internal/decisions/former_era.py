"""What a store view keeps of the store's former era.

The store was restored from a backup then. ``docs/design/store-eras.md`` says
what still counts.
"""

import typing

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.decisions import promotion_orders
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet


class FormerLead(typing.NamedTuple):
    """A leadership record of a former era of the store.

    It held at least until the clock time `confirmed_at`, in seconds.
    """

    lead: fleet.Lead
    confirmed_at: float


class FormerEra:
    """Primaries, orders and the configuration of a former era.

    Times are clock times in seconds.
    """

    def __init__(self):
        self._ended_at = None
        self._copied_leads = set()
        self._leads = {}
        self._version = None
        self._groups_without_unseen_order = set()

    @property
    def ended_at(self):
        """When the view first saw the present era, None in era 0."""
        return self._ended_at

    @property
    def leads(self):
        """`FormerLead` by group, until the present era has a record."""
        return self._leads

    def end(self, now, leads, confirmed_at, state):
        """Record that the era has ended.

        Parameters
        ----------
        now : float
            When the view saw the next one.
        leads : dict
            Its newest known `fleet.Lead` by group.
        confirmed_at : float
            Up to when the view was known to be complete.
        state : desired.DesiredState or None
            Its newest known configuration.
        """
        self._ended_at = now
        self._groups_without_unseen_order.clear()
        self._version = state.version if state is not None else self._version
        for group, lead in leads.items():
            # A copied record is of a still earlier era.
            if group not in self._copied_leads:
                self._set_lead(now, group, lead, confirmed_at)

    def _set_lead(self, now, group, lead, confirmed_at):
        self._leads.pop(group, None)
        if lead.is_pending:
            return
        self._leads[group] = FormerLead(lead, confirmed_at)
        # A failover that began later would have had to wait for this VM.
        if now - confirmed_at <= primary_resolver.MAX_UNCONFIRMED_AGE_S:
            self._groups_without_unseen_order.add(group)

    def note_copied_lead(self, group):
        """Record that the present era has only a copy of a group's record."""
        self._copied_leads.add(group)

    def note_present_lead(self, group, lead):
        """Record that a group's record is of the present era."""
        self._copied_leads.discard(group)
        self._leads.pop(group, None)
        if not lead.is_pending:
            self._groups_without_unseen_order.add(group)

    def is_lead_copied(self, group):
        """Return whether a group's record is only a copy."""
        return group in self._copied_leads

    def may_have_unseen_order(self, group, now):
        """Return whether an order that the view lacks may be carried out."""
        if self._ended_at is None:
            return False
        if group in self._groups_without_unseen_order:
            return False
        return now - self._ended_at <= promotion_orders.ORDER_LIFETIME_S

    def choose_state(self, state, present):
        """Return the configuration to use, which is never an earlier one.

        Operators may write several versions again, one after the other.
        """
        if self._version is None:
            return state
        if state.version >= self._version:
            self._version = None
            return state
        return present

    def choose_order(self, group, copied, known):
        """Return the newest order of a group, None if there is none.

        Parameters
        ----------
        group : str
            The group.
        copied : fleet.PromotionOrder
            The order that the store was restored with.
        known : object
            The record that the view has had for the key.
        """
        if isinstance(known, fleet.PromotionOrder):
            return max(copied, known, key=lambda order: order.fence)
        # The former era had removed it before it ended.
        return None if group in self._leads else copied


def choose_target(restored, known):
    """Return what holds of a target that a restored store has an entry of.

    The entry may be of an earlier run, or of before the target began to
    drain.

    Parameters
    ----------
    restored : desired.Target
        The target by the entry.
    known : object
        The record that the view has had for the key.
    """
    if not isinstance(known, desired.Target):
        return restored
    if restored.started_ms < known.started_ms:
        return known
    is_same_run = restored.started_ms == known.started_ms
    if is_same_run and known.is_draining:
        return restored._replace(is_draining=True)
    return restored
