"""Limiter: the token buckets of the teams that this VM owns."""

import math

import trio

from geraniumridge._internal.decisions import limiter
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.network import wire

HISTORY_EVERY_S = 0.5


@registry.PLUGINS.register("limiter")
class Limiter(kernel.Plugin):
    """Answers draws for the teams placed on this VM."""

    def __init__(self, owner):
        super().__init__(owner)
        self._buckets = {}
        self._continuity = 0
        self._history = {}

    async def start(self, nursery):
        """Register the call and follow views and versions."""
        self._configuration = self._kernel.get("configuration")
        self._directory = self._kernel.get("directory")
        self._membership = self._kernel.get("membership")
        peers = self._kernel.get("peers")
        peers.handle(wire.messages.Draw, self.answer_draw)
        self._membership.add_listener(self._drop_buckets)
        nursery.start_soon(self._follow_versions)

    async def answer_draw(self, message):
        """Hand out tokens of a team.

        Raises
        ------
        exceptions.MisroutedError
            If this VM does not own the team's bucket.
        """
        name = make_placement(message.team)
        if not self._membership.owns(name):
            self._buckets.pop(message.team, None)
            raise exceptions.MisroutedError(f"not the limiter of {name}")
        now = trio.current_time()
        self._drop_buckets()
        bucket = self._buckets.get(message.team)
        if bucket is None:
            bucket = self._buckets[message.team] = limiter.TokenBucket(now)
        if not bucket.is_ready(now) or not self._membership.get_share():
            # No tokens yet is not the same as a team above its rate.
            raise exceptions.MisroutedError(f"{name} is not settled yet")
        result = bucket.grant_tokens(
            now,
            self._find_allowance(message.team),
            message.waiting,
            message.prepaid,
            [
                number
                for number in message.closed or []
                if message.limiter == self._get_identity()
            ],
        )
        return wire.messages.Grant(
            granted=result.granted,
            batch=result.batch,
            valid_s=result.valid_s,
            retry_after_s=(
                -1.0
                if math.isinf(result.retry_after_s)
                else result.retry_after_s
            ),
            limiter=self._get_identity(),
        )

    def _get_identity(self):
        """Batch numbers hold only for one run of one limiter."""
        return f"{self._membership.me.incarnation}:{self._continuity}"

    def _find_allowance(self, team):
        self._note_version()
        domain = self._settings.vm.domain
        part = limiter.find_min_allowance(team, domain, self._history.values())
        share = self._membership.get_share()
        return limiter.Allowance(part.rate * share, part.burst * share)

    def _drop_buckets(self):
        """Forget buckets that another VM may have filled meanwhile."""
        continuity = self._membership.cell.generation
        if continuity != self._continuity:
            self._continuity = continuity
            self._buckets.clear()
            return
        for team in list(self._buckets):
            if not self._membership.cell.is_placed(make_placement(team)):
                del self._buckets[team]

    def _note_version(self):
        version = self._configuration.version
        if version not in self._history:
            self._history[version] = self._configuration.document

    async def _follow_versions(self):
        """Forget versions that no domain uses any more."""
        while True:
            self._note_version()
            document = self._configuration.document
            confirmed = [
                self._directory.get_confirmed(domain)
                for domain in document.domains
            ]
            oldest = min(confirmed, default=0)
            for version in sorted(self._history)[:-1]:
                if version < oldest:
                    del self._history[version]
            await trio.sleep(HISTORY_EVERY_S)


def make_placement(team):
    """Return the name under which a team's bucket is placed."""
    return f"limiter/{team}"
