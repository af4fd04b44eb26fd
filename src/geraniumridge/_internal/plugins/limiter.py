"""Limiter: grants tokens from the buckets that are placed on this VM."""

import math

import trio

from geraniumridge._internal.decisions import limiter
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.network import wire

DOCUMENT_CLEANUP_INTERVAL_S = 0.5
"""Interval at which configuration documents not in use are dropped."""


@registry.PLUGINS.register("limiter")
class Limiter(kernel.Plugin):
    """Token buckets of the teams that are placed on this VM."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        self._buckets = {}
        self._generation = 0
        self._documents = {}

    async def start(self, nursery):
        """Register the handlers and start to keep configuration documents."""
        self._configuration = self._kernel.get("configuration")
        self._directory = self._kernel.get("directory")
        self._membership = self._kernel.get("membership")
        peers = self._kernel.get("peers")
        peers.handle(wire.messages.Draw, self.answer_token_request)
        self._membership.add_listener(self._drop_stale_buckets)
        nursery.start_soon(self._drop_unused_documents)

    async def answer_token_request(self, message):
        """Answer a token request with a grant.

        Raises
        ------
        exceptions.MisroutedError
            If this VM does not own the team's bucket, tokens of an
            earlier limiter may still be valid, or the view holds no
            fraction of the domain's rate limits.
        """
        placement_key = make_placement_key(message.team)
        if not self._membership.owns(placement_key):
            self._buckets.pop(message.team, None)
            raise exceptions.MisroutedError(
                f"not the limiter of {placement_key}"
            )
        now = trio.current_time()
        self._drop_stale_buckets()
        bucket = self._buckets.get(message.team)
        if bucket is None:
            bucket = self._buckets[message.team] = limiter.TokenBucket(now)
        if not bucket.is_ready(now) or not self._membership.get_share():
            # Either tokens of an earlier limiter may still be valid, or the
            # view holds no share. An error, as a grant of none would mean
            # that the team is above its rate.
            raise exceptions.MisroutedError(
                f"{placement_key} is not settled yet"
            )
        result = bucket.grant_tokens(
            now,
            self._find_allowance(message.team),
            message.waiting,
            message.prepaid,
            [
                number
                for number in message.closed or []
                if message.limiter == self._get_limiter_id()
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
            limiter=self._get_limiter_id(),
        )

    def _get_limiter_id(self):
        """Return the id that batch numbers belong to.

        It changes when this VM restarts or may have lost its buckets.
        """
        return f"{self._membership.me.incarnation}:{self._generation}"

    def _find_allowance(self, team):
        self._keep_document()
        domain = self._settings.vm.domain
        domain_allowance = limiter.find_min_allowance(
            team, domain, self._documents.values()
        )
        share = self._membership.get_share()
        return limiter.Allowance(
            domain_allowance.rate * share, domain_allowance.burst * share
        )

    def _drop_stale_buckets(self):
        """Drop buckets from which another VM may have granted tokens."""
        generation = self._membership.cell.generation
        if generation != self._generation:
            self._generation = generation
            self._buckets.clear()
            return
        for team in list(self._buckets):
            if not self._membership.cell.is_placed(make_placement_key(team)):
                del self._buckets[team]

    def _keep_document(self):
        version = self._configuration.version
        if version not in self._documents:
            self._documents[version] = self._configuration.document

    async def _drop_unused_documents(self):
        """Drop configuration documents that no domain uses any more."""
        while True:
            self._keep_document()
            document = self._configuration.document
            confirmed = [
                self._directory.get_confirmed_version(domain)
                for domain in document.domains
            ]
            oldest_in_use = min(confirmed, default=0)
            for version in sorted(self._documents)[:-1]:
                if version < oldest_in_use:
                    del self._documents[version]
            await trio.sleep(DOCUMENT_CLEANUP_INTERVAL_S)


def make_placement_key(team):
    """Return the key that places a team's bucket on a VM."""
    return f"limiter/{team}"
