"""Leader election of a cell under network faults and process failures."""

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from lib import cells

HEAL_S = 30.0


def test_new_cell_converges_within_four_seconds():
    world = cells.World(3)
    world.run(4.0)
    assert world.has_converged()


def test_keys_of_a_crashed_member_move_to_another():
    world = cells.World(3)
    world.run(4.0)
    victim = next(
        name
        for name, node in world.cells.items()
        if node.owns(world.now, cells.KEYS[0])
    )
    world.kill(victim)
    world.run(8.0)
    owners = [
        name
        for name, node in world.cells.items()
        if node.owns(world.now, cells.KEYS[0])
    ]
    assert len(owners) == 1
    share = world.cells[owners[0]].get_share(world.now)
    assert share == pytest.approx(2 / 3)
    world.listed.remove(victim)
    world.publish()
    world.run(20.0)
    assert world.has_converged()


def test_frozen_leader_has_lost_its_lease_when_it_resumes():
    world = cells.World(3)
    world.run(4.0)
    leader = next(vm for vm, node in world.cells.items() if node.is_leader)
    world.frozen.add(leader)
    world.run(10.0)
    others = [node for vm, node in world.cells.items() if vm != leader]
    assert sum(node.owns(world.now, cells.KEYS[0]) for node in others) == 1
    world.frozen.discard(leader)
    world.check()
    world.run(HEAL_S)
    assert world.has_converged()


def test_each_half_of_a_partition_holds_half_of_the_share():
    world = cells.World(4)
    world.run(4.0)
    for left in ("vm-0", "vm-1"):
        for right in ("vm-2", "vm-3"):
            world.cut_links.add(frozenset((left, right)))
    world.run(20.0)
    for node in world.cells.values():
        assert node.get_share(world.now) == 0.5
    assert not any(
        node.leads_domain_majority(world.now) for node in world.cells.values()
    )
    world.cut_links.clear()
    world.run(HEAL_S)
    assert world.has_converged()


@pytest.mark.parametrize("offset_s", [0.0, 0.1, 0.2, 0.3, 0.4])
def test_resigned_leader_is_replaced_without_waiting_for_its_lease(offset_s):
    # The offset shifts the phase of the heartbeats; at some phases the
    # first claim comes before the others know of the resignation.
    world = cells.World(2)
    world.listed.append("vm-2")
    world.run(offset_s)
    world.boot("vm-2")
    world.run(12.0)
    leader = next(vm for vm, node in world.cells.items() if node.is_leader)
    world.cells[leader].leave(world.now)
    world.run(2.0)
    world.kill(leader)
    world.run(0.5)
    owners = [
        owner for owner in world.cells.values() if owner.owns(world.now, "x")
    ]
    assert len(owners) == 1


def test_cell_converges_after_a_member_has_left():
    world = cells.World(3)
    world.run(6.0)
    name = next(vm for vm, node in world.cells.items() if not node.is_leader)
    world.cells[name].leave(world.now)
    world.run(2.0)
    assert world.cells[name].has_left
    world.kill(name)
    world.listed.remove(name)
    world.publish()
    world.run(2.0)
    assert world.has_converged()


def test_cell_converges_after_each_restart_of_a_vm():
    world = cells.World(3)
    world.run(6.0)
    for name in list(world.cells):
        world.kill(name)
        world.run(1.0)
        world.boot(name)
        world.run(HEAL_S)
        assert world.has_converged(), name


def test_resumed_leader_does_not_count_members_that_followed_another():
    # Heartbeats from before the freeze made the resumed leader count a
    # member that had led a cell of its own in the meantime.
    world = cells.World(3)
    world.run(8.3)
    world.max_delay_s = 1.5
    world.loss_rate = 0.1
    world.run(1.5)
    world.frozen.add("vm-0")
    world.run(7.7)
    world.max_delay_s = 0.02
    world.loss_rate = 0.0
    world.run(6.5)
    world.frozen.discard("vm-0")
    world.run(HEAL_S)
    assert world.has_converged()


pauses = strategies.sampled_from((0.0, 0.2, 0.5, 1.0, 2.5, 4.0))


class CellMachine(stateful.RuleBasedStateMachine):
    """Random sequences of faults; `World.check` must hold after each."""

    @stateful.initialize(
        count=strategies.integers(2, 5),
        number=strategies.integers(0, 1 << 16),
    )
    def begin(self, count, number):
        self.world = cells.World(count, number)
        self.world.run(4.0)

    @stateful.rule(seconds=pauses)
    def wait(self, seconds):
        self.world.run(seconds)

    @stateful.rule(
        delay_s=strategies.sampled_from((0.02, 0.4, 1.5)),
        loss=strategies.sampled_from((0.0, 0.1, 0.4)),
        repeat=strategies.sampled_from((0.0, 0.3)),
    )
    def disturb(self, delay_s, loss, repeat):
        self.world.max_delay_s = delay_s
        self.world.loss_rate = loss
        self.world.duplicate_rate = repeat

    @stateful.rule(data=strategies.data(), pause=pauses)
    def split(self, data, pause):
        names = sorted(self.world.listed)
        side = data.draw(strategies.sets(strategies.sampled_from(names)))
        self.world.cut_links = {
            frozenset((left, right))
            for left in side
            for right in names
            if right not in side
        }
        self.world.run(pause)

    @stateful.rule()
    def heal(self):
        self.world.cut_links = set()

    @stateful.rule(data=strategies.data(), pause=pauses)
    def freeze_or_wake(self, data, pause):
        name = data.draw(strategies.sampled_from(sorted(self.world.listed)))
        if name in self.world.frozen:
            self.world.frozen.discard(name)
            self.world.check()
        elif name in self.world.cells:
            self.world.frozen.add(name)
        self.world.run(pause)

    @stateful.rule(data=strategies.data(), pause=pauses)
    def kill_or_boot(self, data, pause):
        name = data.draw(strategies.sampled_from(sorted(self.world.listed)))
        if name in self.world.cells:
            self.world.kill(name)
        else:
            self.world.boot(name)
        self.world.run(pause)

    @stateful.rule(data=strategies.data())
    def leave(self, data):
        name = data.draw(strategies.sampled_from(sorted(self.world.listed)))
        if name in self.world.cells and name not in self.world.frozen:
            self.world.cells[name].leave(self.world.now)


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
