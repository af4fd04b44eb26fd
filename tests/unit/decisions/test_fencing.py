"""Fencing of an old primary during a failover, as state machines.

VMs get late answers from the store and from each other, lose their
entries, restart, acknowledge the failover or do nothing. Once the VM that
runs the failover finds the fence established, no VM may ever find the old
primary usable again.
"""

import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.decisions import quorum
from geraniumridge._internal.decisions import succession
from geraniumridge._internal.decisions import view
from geraniumridge._internal.decisions import view_age
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store
from lib import fleets

HOLDER = "vm-0"
OTHERS = ["vm-1", "vm-2"]
SILENT = "vm-2"
VMS = [HOLDER, *OTHERS]
LEAD_KEY = fleet.make_lead_key("ledger")
OLD = fleets.make_target("old", role=desired.Role.PRIMARY)


class ConfirmationRequest(typing.NamedTuple):
    """A request for confirmation in transit between two VMs."""

    requester: str
    boot: str
    member: str
    requested_at: float
    revision: int


class Vm:
    """One run of a VM: the real decisions on its own store view."""

    def __init__(self, name, boot):
        self.name = name
        self.boot = boot
        self.view = view.View(lambda key, value: value)
        self.view_age = view_age.ViewAge()
        self.confirmations = quorum.QuorumConfirmations()
        self.primary_resolver = primary_resolver.PrimaryResolver(
            name,
            boot,
            self.view,
            self.view_age,
            self.confirmations,
            entry_grace_s=4.0,
        )
        self.requested_at = None


class World:
    """The store, the VMs and the VM that runs one failover."""

    names = VMS

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.log = []
        self.keys = {}
        self.requests = []
        self.confirmations_in_transit = []
        self.acknowledgements_in_transit = []
        self.received = succession.Acknowledgements()
        self.fence = None
        self.pending = 0
        self.is_fence_established = False
        self.put("s/old", OLD)
        self.vms = {}
        for name in self.names:
            self.start(name)
        self.sync(HOLDER)
        # Long enough for the holder to know the members and departures.
        self.now += 2 * succession.FENCE_TIMEOUT_S
        for name in self.names:
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
        made.view_age.confirm(self.now)
        self.vms[name] = made
        member = fleets.make_member(name, boot)
        self.put(fleet.make_member_key(name), member)

    def ask(self, name):
        self.vms[name].requested_at = self.now

    def answer(self, name):
        vm = self.vms[name]
        if vm.requested_at is None:
            return
        changes = tuple(
            item for item in self.log if item.revision > vm.view.revision
        )
        vm.view.apply(self.now, store.Changes(changes, len(self.log)))
        vm.view_age.confirm(vm.requested_at)
        vm.requested_at = None

    def sync(self, name):
        self.ask(name)
        self.answer(name)

    def send_request(self, requester, member):
        vm = self.vms[requester]
        self.requests.append(
            ConfirmationRequest(
                requester, vm.boot, member, self.now, vm.view.revision
            )
        )

    def answer_request(self, index):
        request = self.requests.pop(index % len(self.requests))
        groups = self.vms[request.member].view.list_groups_with_newer_lead(
            request.revision
        )
        self.confirmations_in_transit.append((request, frozenset(groups)))

    def take_confirmation(self, index):
        request, newer = self.confirmations_in_transit.pop(
            index % len(self.confirmations_in_transit)
        )
        vm = self.vms[request.requester]
        if vm.boot == request.boot:
            confirmation = quorum.Confirmation(request.requested_at, newer)
            vm.confirmations.add(request.member, confirmation)

    def acknowledge(self, name):
        vm = self.vms[name]
        lead = vm.view.get_lead("ledger")
        if lead is not None and lead.is_pending:
            revision = vm.view.get_revision(LEAD_KEY)
            key = fleet.make_acknowledgement_key("ledger", name)
            self.put(key, fleet.Acknowledgement(name, revision))

    def send_acknowledgement(self, name):
        """Send an acknowledgement to the holder directly."""
        vm = self.vms[name]
        lead = vm.view.get_lead("ledger")
        if lead is not None and lead.is_pending:
            revision = vm.view.get_revision(LEAD_KEY)
            self.acknowledgements_in_transit.append((name, revision))

    def take_acknowledgement(self, index):
        """Let the holder receive an acknowledgement, perhaps a late one."""
        name, revision = self.acknowledgements_in_transit.pop(
            index % len(self.acknowledgements_in_transit)
        )
        self.received.note(name, "ledger", revision)

    def start_failover(self):
        lead = fleet.Lead("old", 1, f"{HOLDER}/x", True)
        self.pending = self.put(LEAD_KEY, lead)
        self.fence = succession.Fence(
            "ledger", self.pending, self.now, self.received
        )

    def run_holder_step(self):
        """Let the holder acknowledge, read the store and check the fence."""
        self.sync(HOLDER)
        self.acknowledge(HOLDER)
        self.sync(HOLDER)
        store_view = self.vms[HOLDER].view
        if self.pending and store_view.revision >= self.pending:
            self.is_fence_established |= self.fence.is_established(
                store_view, self.now
            )

    def check(self):
        if not self.is_fence_established:
            return
        for vm in self.vms.values():
            assert (
                vm.primary_resolver.find_usable_primary("ledger", self.now)
                is None
            )


class Fencing(World, stateful.RuleBasedStateMachine):
    """Events in any order around one failover."""

    @stateful.rule(seconds=st.floats(0.01, 2.0))
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.rule(name=st.sampled_from(VMS))
    def send_query(self, name):
        self.ask(name)

    @stateful.rule(name=st.sampled_from(VMS))
    def take_answer(self, name):
        self.answer(name)

    @stateful.rule(name=st.sampled_from(OTHERS))
    def lose_entry(self, name):
        self.put(fleet.make_member_key(name), None)

    @stateful.rule(name=st.sampled_from(OTHERS))
    def register(self, name):
        member = fleets.make_member(name, self.vms[name].boot)
        self.put(fleet.make_member_key(name), member)

    @stateful.rule(name=st.sampled_from(VMS))
    def restart(self, name):
        self.start(name)
        self.sync(name)

    @stateful.rule(name=st.sampled_from(OTHERS))
    def acknowledge_by_other(self, name):
        self.sync(name)
        self.acknowledge(name)

    @stateful.rule(name=st.sampled_from(OTHERS))
    def acknowledge_directly(self, name):
        self.send_acknowledgement(name)

    @stateful.precondition(lambda self: self.acknowledgements_in_transit)
    @stateful.rule(index=st.integers(0, 9))
    def receive_acknowledgement(self, index):
        self.take_acknowledgement(index)

    @stateful.rule()
    def step_holder(self):
        self.run_holder_step()

    @stateful.precondition(lambda self: not self.pending)
    @stateful.rule()
    def begin(self):
        self.start_failover()

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule()
    def end_failover(self):
        """End the failover with the old primary still in place."""
        self.put(LEAD_KEY, fleet.Lead("old", 1, f"{HOLDER}/x", False))
        self.pending = 0
        self.is_fence_established = False

    @stateful.rule(requester=st.sampled_from(VMS), member=st.sampled_from(VMS))
    def ask_other(self, requester, member):
        self.send_request(requester, member)
        self.answer_request(len(self.requests) - 1)
        self.take_confirmation(len(self.confirmations_in_transit) - 1)

    @stateful.invariant()
    def nobody_uses_a_fenced_primary(self):
        self.check()


class MinorityFencing(World, stateful.RuleBasedStateMachine):
    """A VM without the store asks other VMs during a failover."""

    def __init__(self):
        super().__init__()
        self.start_failover()

    @stateful.rule(seconds=st.sampled_from([0.1, 0.3, 0.7, 2.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.rule()
    def sync_other(self):
        self.sync("vm-1")
        self.acknowledge("vm-1")

    @stateful.precondition(lambda self: len(self.vms) < 5)
    @stateful.rule()
    def join(self):
        name = f"vm-{len(self.vms)}"
        self.start(name)
        self.sync(name)
        self.acknowledge(name)

    @stateful.rule(member=st.sampled_from(VMS))
    def send_confirmation_request(self, member):
        self.send_request(SILENT, member)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule()
    def send_replies(self):
        while self.requests:
            self.answer_request(0)

    @stateful.precondition(lambda self: self.confirmations_in_transit)
    @stateful.rule()
    def take_replies(self):
        while self.confirmations_in_transit:
            self.take_confirmation(0)

    @stateful.invariant()
    def nobody_uses_a_fenced_primary(self):
        self.run_holder_step()
        self.check()


FURTHER_VMS = [f"vm-{number}" for number in range(3, 9)]


class VoterFencing(MinorityFencing):
    """Only some of the members vote, and members come and go."""

    names = [*VMS, "vm-3", "vm-4"]

    def __init__(self):
        self._max_voters = quorum.MAX_VOTERS
        quorum.MAX_VOTERS = 3
        super().__init__()

    def teardown(self):
        quorum.MAX_VOTERS = self._max_voters

    @stateful.precondition(lambda self: len(self.vms) < 9)
    @stateful.rule()
    def join(self):
        name = f"vm-{len(self.vms)}"
        self.start(name)
        self.sync(name)
        self.acknowledge(name)

    @stateful.rule(name=st.sampled_from(["vm-1", *FURTHER_VMS]))
    def lose_entry(self, name):
        self.put(fleet.make_member_key(name), None)

    @stateful.rule(name=st.sampled_from(["vm-1", *FURTHER_VMS]))
    def register(self, name):
        if name in self.vms:
            member = fleets.make_member(name, self.vms[name].boot)
            self.put(fleet.make_member_key(name), member)

    @stateful.rule(name=st.sampled_from(FURTHER_VMS))
    def sync_further_vm(self, name):
        if name in self.vms:
            self.sync(name)
            self.acknowledge(name)

    @stateful.rule(member=st.sampled_from(FURTHER_VMS))
    def send_confirmation_request_to_further_vm(self, member):
        if member in self.vms:
            self.send_request(SILENT, member)


SETTINGS = hypothesis.settings(
    max_examples=400,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
)
Fencing.TestCase.settings = SETTINGS
MinorityFencing.TestCase.settings = SETTINGS
VoterFencing.TestCase.settings = hypothesis.settings(
    SETTINGS, max_examples=1_000, stateful_step_count=35
)
TestFencing = Fencing.TestCase
TestMinorityFencing = MinorityFencing.TestCase
TestVoterFencing = VoterFencing.TestCase
