"""Leader election of a cell under network faults and process failures."""

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from lib import cells

HEAL_S = 30.0


def test_new_cell_converges_within_four_seconds():
    simulation = cells.SimulatedCell(3)
    simulation.run(4.0)
    assert simulation.has_converged()


def test_keys_of_a_crashed_member_move_to_another():
    simulation = cells.SimulatedCell(3)
    simulation.run(4.0)
    victim = next(
        name
        for name, node in simulation.cells.items()
        if node.owns(simulation.now, cells.KEYS[0])
    )
    simulation.kill(victim)
    simulation.run(8.0)
    owners = [
        name
        for name, node in simulation.cells.items()
        if node.owns(simulation.now, cells.KEYS[0])
    ]
    assert len(owners) == 1
    share = simulation.cells[owners[0]].get_share(simulation.now)
    assert share == pytest.approx(2 / 3)
    simulation.listed.remove(victim)
    simulation.publish()
    simulation.run(20.0)
    assert simulation.has_converged()


def test_frozen_leader_has_lost_its_lease_when_it_resumes():
    simulation = cells.SimulatedCell(3)
    simulation.run(4.0)
    leader = next(
        vm for vm, node in simulation.cells.items() if node.is_leader
    )
    simulation.frozen.add(leader)
    simulation.run(10.0)
    others = [node for vm, node in simulation.cells.items() if vm != leader]
    assert (
        sum(node.owns(simulation.now, cells.KEYS[0]) for node in others) == 1
    )
    simulation.frozen.discard(leader)
    simulation.check()
    simulation.run(HEAL_S)
    assert simulation.has_converged()


def test_each_half_of_a_partition_holds_half_of_the_share():
    simulation = cells.SimulatedCell(4)
    simulation.run(4.0)
    for left in ("vm-0", "vm-1"):
        for right in ("vm-2", "vm-3"):
            simulation.cut_links.add(frozenset((left, right)))
    simulation.run(20.0)
    for node in simulation.cells.values():
        assert node.get_share(simulation.now) == 0.5
    assert not any(
        node.leads_domain_majority(simulation.now)
        for node in simulation.cells.values()
    )
    simulation.cut_links.clear()
    simulation.run(HEAL_S)
    assert simulation.has_converged()


@pytest.mark.parametrize("offset_s", [0.0, 0.1, 0.2, 0.3, 0.4])
def test_resigned_leader_is_replaced_without_waiting_for_its_lease(offset_s):
    # The offset shifts the phase of the heartbeats; at some phases the
    # first claim comes before the others know of the resignation.
    simulation = cells.SimulatedCell(2)
    simulation.listed.append("vm-2")
    simulation.run(offset_s)
    simulation.boot("vm-2")
    simulation.run(12.0)
    leader = next(
        vm for vm, node in simulation.cells.items() if node.is_leader
    )
    simulation.cells[leader].leave(simulation.now)
    simulation.run(2.0)
    simulation.kill(leader)
    simulation.run(0.5)
    owners = [
        owner
        for owner in simulation.cells.values()
        if owner.owns(simulation.now, "x")
    ]
    assert len(owners) == 1


def test_cell_converges_after_a_member_has_left():
    simulation = cells.SimulatedCell(3)
    simulation.run(6.0)
    name = next(
        vm for vm, node in simulation.cells.items() if not node.is_leader
    )
    simulation.cells[name].leave(simulation.now)
    simulation.run(2.0)
    assert simulation.cells[name].has_left
    simulation.kill(name)
    simulation.listed.remove(name)
    simulation.publish()
    simulation.run(2.0)
    assert simulation.has_converged()


def test_cell_converges_after_each_restart_of_a_vm():
    simulation = cells.SimulatedCell(3)
    simulation.run(6.0)
    for name in list(simulation.cells):
        simulation.kill(name)
        simulation.run(1.0)
        simulation.boot(name)
        simulation.run(HEAL_S)
        assert simulation.has_converged(), name


def test_resumed_leader_does_not_count_members_that_followed_another():
    # This sequence was found by a random walk: heartbeats from before the
    # freeze made the resumed leader count a member that had led a cell of
    # its own in the meantime.
    simulation = cells.SimulatedCell(3)
    simulation.run(8.3)
    simulation.max_delay_s = 1.5
    simulation.loss_rate = 0.1
    simulation.run(1.5)
    simulation.frozen.add("vm-0")
    simulation.run(7.7)
    simulation.max_delay_s = 0.02
    simulation.loss_rate = 0.0
    simulation.run(6.5)
    simulation.frozen.discard("vm-0")
    simulation.run(HEAL_S)
    assert simulation.has_converged()


pauses = strategies.sampled_from((0.0, 0.2, 0.5, 1.0, 2.5, 4.0))


class CellMachine(stateful.RuleBasedStateMachine):
    """Random faults; `SimulatedCell.check` must hold after each."""

    @stateful.initialize(
        count=strategies.integers(2, 5),
        seed=strategies.integers(0, 1 << 16),
    )
    def begin(self, count, seed):
        self.simulation = cells.SimulatedCell(count, seed)
        self.simulation.run(4.0)

    @stateful.rule(seconds=pauses)
    def wait(self, seconds):
        self.simulation.run(seconds)

    @stateful.rule(
        delay_s=strategies.sampled_from((0.02, 0.4, 1.5)),
        loss=strategies.sampled_from((0.0, 0.1, 0.4)),
        repeat=strategies.sampled_from((0.0, 0.3)),
    )
    def disturb(self, delay_s, loss, repeat):
        self.simulation.max_delay_s = delay_s
        self.simulation.loss_rate = loss
        self.simulation.duplicate_rate = repeat

    @stateful.rule(data=strategies.data(), pause=pauses)
    def split(self, data, pause):
        names = sorted(self.simulation.listed)
        side = data.draw(strategies.sets(strategies.sampled_from(names)))
        self.simulation.cut_links = {
            frozenset((left, right))
            for left in side
            for right in names
            if right not in side
        }
        self.simulation.run(pause)

    @stateful.rule()
    def heal(self):
        self.simulation.cut_links = set()

    @stateful.rule(data=strategies.data(), pause=pauses)
    def freeze_or_wake(self, data, pause):
        name = data.draw(
            strategies.sampled_from(sorted(self.simulation.listed))
        )
        if name in self.simulation.frozen:
            self.simulation.frozen.discard(name)
            self.simulation.check()
        elif name in self.simulation.cells:
            self.simulation.frozen.add(name)
        self.simulation.run(pause)

    @stateful.rule(data=strategies.data(), pause=pauses)
    def kill_or_boot(self, data, pause):
        name = data.draw(
            strategies.sampled_from(sorted(self.simulation.listed))
        )
        if name in self.simulation.cells:
            self.simulation.kill(name)
        else:
            self.simulation.boot(name)
        self.simulation.run(pause)

    @stateful.rule(data=strategies.data())
    def leave(self, data):
        name = data.draw(
            strategies.sampled_from(sorted(self.simulation.listed))
        )
        if (
            name in self.simulation.cells
            and name not in self.simulation.frozen
        ):
            self.simulation.cells[name].leave(self.simulation.now)


def run_machine(examples, steps):
    """Run the state machine with a number of examples and steps."""
    stateful.run_state_machine_as_test(
        CellMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_safety_under_any_order_of_faults():
    run_machine(80, 30)


@pytest.mark.slow
def test_safety_under_any_order_of_faults_for_long():
    run_machine(2_000, 50)
