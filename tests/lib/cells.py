"""Simulation of the VMs of a failure domain on a network with faults."""

import heapq
import itertools
import random

from geraniumridge._internal.decisions import cell
from geraniumridge._internal.decisions import cell_messages
from geraniumridge._internal.models import membership

HEARTBEAT_S = 0.5
LEASE_S = 2.0
TICK_S = 0.05
KEYS = ("limiter/a", "limiter/b", "gateway/c")


class SimulatedCell:
    """VMs of one failure domain, with their network and clock.

    Parameters
    ----------
    count : int
        Number of VMs.
    seed : int
        Seed of the random delays, losses and duplicates.
    """

    def __init__(self, count, seed=0):
        self.random = random.Random(seed)
        self.now = 0.0
        self.cells = {}
        self.members = {}
        self.frozen = set()
        self.cut_links = set()
        self.max_delay_s = 0.02
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self._queue = []
        self._sequence = itertools.count()
        self.listed = [f"vm-{index}" for index in range(count)]
        for name in self.listed:
            self.boot(name)

    def boot(self, name):
        """Start a VM's process without any state."""
        incarnation = str(next(self._sequence))
        member = membership.Member(name, incarnation, f"{name}:1")
        self.members[name] = member
        self.cells[name] = cell.Cell(member, HEARTBEAT_S, LEASE_S, self.now)
        self.frozen.discard(name)
        self.publish()

    def kill(self, name):
        """End a VM's process."""
        del self.cells[name]
        del self.members[name]
        self.frozen.discard(name)

    def publish(self):
        """Send the platform's list to all VMs that are not frozen."""
        listed = {name: f"{name}:1" for name in self.listed}
        for name, node in self.cells.items():
            if name not in self.frozen:
                node.set_listed_vms(self.now, listed)

    def run(self, seconds, check=True):
        """Advance the time and check the safety properties at each step."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self._deliver()
            for name in list(self.cells):
                if name not in self.frozen:
                    self._send(name, self.cells[name].tick(self.now))
            if check:
                self.check()

    def check(self):
        """Check that no share is used twice and no two VMs lead a majority.

        For each key, the shares of the VMs that own it must add up to at
        most 1.
        """
        for key in KEYS:
            acting = {
                name: node.get_share(self.now)
                for name, node in self.cells.items()
                if node.owns(self.now, key)
            }
            assert sum(acting.values()) <= 1 + 1e-9, (self.now, key, acting)
        majority_leaders = [
            name
            for name, node in self.cells.items()
            if node.leads_domain_majority(self.now)
        ]
        assert len(majority_leaders) <= 1, (self.now, majority_leaders)

    def has_converged(self):
        """Return whether all VMs follow one view that has the whole share."""
        epochs = {
            node.view and node.view.epoch for node in self.cells.values()
        }
        shares = [node.get_share(self.now) for node in self.cells.values()]
        owned = all(
            sum(node.owns(self.now, key) for node in self.cells.values()) == 1
            for key in KEYS
        )
        return len(epochs) == 1 and min(shares) == 1.0 and owned

    def _is_connected(self, sender, receiver):
        return frozenset((sender, receiver)) not in self.cut_links

    def _schedule(self, sender, receiver, deliver):
        if not self._is_connected(sender, receiver):
            return
        copies = 1 + (self.random.random() < self.duplicate_rate)
        for _ in range(copies):
            if self.random.random() < self.loss_rate:
                continue
            due_at = self.now + self.random.uniform(0, self.max_delay_s)
            delivery = (due_at, next(self._sequence), receiver, deliver)
            heapq.heappush(self._queue, delivery)

    def _deliver(self):
        waiting = []
        while self._queue and self._queue[0][0] <= self.now:
            delivery = heapq.heappop(self._queue)
            if delivery[2] in self.frozen:
                waiting.append(delivery)
            elif delivery[2] in self.cells:
                delivery[3]()
        for delivery in waiting:
            heapq.heappush(self._queue, delivery)

    def _send(self, sender, actions):
        for action in actions:
            receiver = action.address.partition(":")[0]
            if isinstance(action, cell_messages.SendHeartbeat):
                self._send_heartbeat(sender, receiver, action.heartbeat)
            else:
                self._send_claim(sender, receiver, action.claim)

    def _send_heartbeat(self, sender, receiver, heartbeat):
        sent_at = self.now
        sending_member = self.members[sender]

        def receive_answer(answer):
            if self.members.get(sender) != sending_member:
                return
            send_now = self.cells[sender].handle_heartbeat_answer(
                self.now, sent_at, f"{receiver}:1", answer
            )
            if send_now:
                renewal = self.cells[sender].make_heartbeat()
                leader = self.cells[sender].leader_address.partition(":")[0]
                self._send_heartbeat(sender, leader, renewal)

        def receive():
            answer = self.cells[receiver].handle_heartbeat(self.now, heartbeat)
            self._schedule(receiver, sender, lambda: receive_answer(answer))

        self._schedule(sender, receiver, receive)

    def _send_claim(self, sender, receiver, claim):
        sending_member = self.members[sender]

        def receive():
            answer = self.cells[receiver].handle_claim(self.now, claim)
            member = self.members[receiver]

            def receive_answer():
                if self.members.get(sender) == sending_member:
                    self.cells[sender].handle_claim_answer(
                        self.now, claim.number, member, answer
                    )

            self._schedule(receiver, sender, receive_answer)

        self._schedule(sender, receiver, receive)
