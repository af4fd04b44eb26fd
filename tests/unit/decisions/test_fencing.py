"""Fencing as a state machine: who may still use a replaced primary.

VMs ask the store and get answers late, lose their entries, start anew,
release, or stand still. Whenever the holder finds that nobody is
awaited any more, no VM may find the old primary usable, now or later.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from geraniumridge._internal.decisions import freshness
from geraniumridge._internal.decisions import primacy
from geraniumridge._internal.decisions import succession
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store
from lib import fleets

HOLDER = "vm-0"
OTHER = "vm-1"
VMS = [HOLDER, OTHER]
LEAD_KEY = fleet.make_lead_key("ledger")
OLD = fleets.make_target("old", role=desired.Role.PRIMARY)


class Vm:
    """One run of a VM: the real decisions on its own picture."""

    def __init__(self, name, boot):
        self.name = name
        self.boot = boot
        self.view = view.View(lambda key, value: value)
        self.freshness = freshness.Freshness()
        self.primacy = primacy.Primacy(
            name, boot, self.view, self.freshness, gone_s=4.0
        )
        self.asked_at = None


class Fencing(stateful.RuleBasedStateMachine):
    """The store, the VMs and the holder of one replacement."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.log = []
        self.keys = {}
        self.marked_at = None
        self.pending = 0
        self.is_fenced = False
        self.put("s/old", OLD)
        self.vms = {}
        for name in VMS:
            self.start(name)
        # Long enough for the holder to know who has left.
        self.now += 2 * succession.WAIT_S
        for name in VMS:
            self.sync(name)

    def put(self, key, value):
        revision = len(self.log) + 1
        item = store.Item(key, value, revision)
        self.log.append(item)
        if value is None:
            self.keys.pop(key, None)
        else:
            self.keys[key] = item
        return revision

    def start(self, name):
        boot = f"boot-{len(self.log)}"
        made = Vm(name, boot)
        listing = store.Listing(tuple(self.keys.values()), len(self.log))
        made.view.replace(self.now, listing)
        made.freshness.confirm(self.now)
        self.vms[name] = made
        member = fleets.make_member(name, boot)
        self.put(fleet.make_member_key(name), member)

    @stateful.rule(seconds=st.floats(0.01, 2.0))
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.rule(name=st.sampled_from(VMS))
    def ask(self, name):
        self.vms[name].asked_at = self.now

    @stateful.rule(name=st.sampled_from(VMS))
    def answer(self, name):
        vm = self.vms[name]
        if vm.asked_at is None:
            return
        changes = tuple(
            item for item in self.log if item.revision > vm.view.revision
        )
        vm.view.apply(self.now, store.Changes(changes, len(self.log)))
        vm.freshness.confirm(vm.asked_at)
        vm.asked_at = None

    def sync(self, name):
        self.ask(name)
        self.answer(name)

    @stateful.rule()
    def lose_entry(self):
        self.put(fleet.make_member_key(OTHER), None)

    @stateful.rule()
    def register(self):
        member = fleets.make_member(OTHER, self.vms[OTHER].boot)
        self.put(fleet.make_member_key(OTHER), member)

    @stateful.rule(name=st.sampled_from(VMS))
    def restart(self, name):
        self.start(name)
        self.sync(name)

    @stateful.rule()
    def other_round(self):
        self.sync(OTHER)
        self.release(OTHER)

    @stateful.rule()
    def holder_round(self):
        self.sync(HOLDER)
        self.release(HOLDER)
        self.sync(HOLDER)
        self.check()

    def release(self, name):
        vm = self.vms[name]
        lead = vm.view.get_lead("ledger")
        if lead is not None and lead.is_pending:
            revision = vm.view.get_revision(LEAD_KEY)
            key = fleet.make_release_key("ledger", name)
            self.put(key, fleet.Release(name, revision))

    @stateful.precondition(lambda self: not self.pending)
    @stateful.rule()
    def mark(self):
        lead = fleet.Lead("old", 1, f"{HOLDER}/x", True)
        self.pending = self.put(LEAD_KEY, lead)
        self.marked_at = self.now

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule()
    def settle(self):
        """The old primary stays after all."""
        self.put(LEAD_KEY, fleet.Lead("old", 1, f"{HOLDER}/x", False))
        self.pending = 0
        self.is_fenced = False

    def check(self):
        if not self.pending:
            return
        picture = self.vms[HOLDER].view
        if picture.revision < self.pending:
            return
        awaited = succession.list_awaited(
            picture, "ledger", self.pending, self.marked_at, self.now
        )
        self.is_fenced |= awaited is not None and not awaited

    @stateful.invariant()
    def nobody_uses_a_fenced_primary(self):
        if not self.is_fenced:
            return
        for vm in self.vms.values():
            assert vm.primacy.find_usable("ledger", self.now) is None


Fencing.TestCase.settings = hypothesis.settings(
    max_examples=400,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
)
TestFencing = Fencing.TestCase
