"""Cells on a fake clock, joined by a network that misbehaves."""

import heapq
import itertools
import random

from geraniumridge._internal.decisions import cell
from geraniumridge._internal.models import membership

HEARTBEAT_S = 0.5
LEASE_S = 2.0
STEP_S = 0.05
KEYS = ("limiter/a", "limiter/b", "gateway/c")


class World:
    """Some VMs of one failure domain and the time they share.

    Parameters
    ----------
    count : int
        Number of VMs.
    seed : int
        Seed of the network's faults.
    """

    def __init__(self, count, seed=0):
        self.random = random.Random(seed)
        self.now = 0.0
        self.cells = {}
        self.members = {}
        self.frozen = set()
        self.cut = set()
        self.max_delay_s = 0.02
        self.loss = 0.0
        self.repeat = 0.0
        self._queue = []
        self._numbers = itertools.count()
        self.listed = [f"vm-{index}" for index in range(count)]
        for name in self.listed:
            self.boot(name)

    def boot(self, name):
        """Start a VM's process, without any memory."""
        incarnation = str(next(self._numbers))
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
        """Hand the platform's list to every VM."""
        listed = {name: f"{name}:1" for name in self.listed}
        for name, item in self.cells.items():
            if name not in self.frozen:
                item.set_listed(self.now, listed)

    def run(self, seconds, check=True):
        """Let time pass, checking safety at every step."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._deliver()
            for name in list(self.cells):
                if name not in self.frozen:
                    self._send(name, self.cells[name].tick(self.now))
            if check:
                self.check()

    def check(self):
        """No share is held twice, nobody speaks beside another."""
        for key in KEYS:
            acting = {
                name: item.get_share(self.now)
                for name, item in self.cells.items()
                if item.owns(self.now, key)
            }
            assert sum(acting.values()) <= 1 + 1e-9, (self.now, key, acting)
        speakers = [
            name for name, item in self.cells.items() if item.speaks(self.now)
        ]
        assert len(speakers) <= 1, (self.now, speakers)

    def is_whole(self):
        """Tell whether all VMs follow one view with the whole share."""
        epochs = {
            item.view and item.view.epoch for item in self.cells.values()
        }
        shares = [item.get_share(self.now) for item in self.cells.values()]
        owned = all(
            sum(item.owns(self.now, key) for item in self.cells.values()) == 1
            for key in KEYS
        )
        return len(epochs) == 1 and min(shares) == 1.0 and owned

    def _reaches(self, sender, receiver):
        return frozenset((sender, receiver)) not in self.cut

    def _post(self, sender, receiver, deliver):
        if not self._reaches(sender, receiver):
            return
        copies = 1 + (self.random.random() < self.repeat)
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            at = self.now + self.random.uniform(0, self.max_delay_s)
            entry = (at, next(self._numbers), receiver, deliver)
            heapq.heappush(self._queue, entry)

    def _deliver(self):
        waiting = []
        while self._queue and self._queue[0][0] <= self.now:
            entry = heapq.heappop(self._queue)
            if entry[2] in self.frozen:
                waiting.append(entry)
            elif entry[2] in self.cells:
                entry[3]()
        for entry in waiting:
            heapq.heappush(self._queue, entry)

    def _send(self, sender, actions):
        for action in actions:
            receiver = action.address.partition(":")[0]
            if isinstance(action, cell.SendHeartbeat):
                self._send_heartbeat(sender, receiver, action.heartbeat)
            else:
                self._send_claim(sender, receiver, action.claim)

    def _send_heartbeat(self, sender, receiver, heartbeat):
        sent_at = self.now
        origin = self.members[sender]

        def take_answer(answer):
            if self.members.get(sender) != origin:
                return
            again = self.cells[sender].take_heartbeat_answer(
                self.now, sent_at, f"{receiver}:1", answer
            )
            if again:
                beat = self.cells[sender].make_heartbeat()
                target = self.cells[sender].leader_address.partition(":")[0]
                self._send_heartbeat(sender, target, beat)

        def take():
            answer = self.cells[receiver].take_heartbeat(self.now, heartbeat)
            self._post(receiver, sender, lambda: take_answer(answer))

        self._post(sender, receiver, take)

    def _send_claim(self, sender, receiver, claim):
        origin = self.members[sender]

        def take():
            answer = self.cells[receiver].take_claim(self.now, claim)
            member = self.members[receiver]

            def take_answer():
                if self.members.get(sender) == origin:
                    self.cells[sender].take_claim_answer(
                        self.now, claim.number, member, answer
                    )

            self._post(receiver, sender, take_answer)

        self._post(sender, receiver, take)
