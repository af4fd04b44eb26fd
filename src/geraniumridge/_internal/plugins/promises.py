"""Promises between domains, for when the platform cannot be asked."""

import logging

import msgspec
import trio

from geraniumridge._internal.decisions import promises
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.network import wire
from geraniumridge._internal.plugins import terms as terms_plugin
from geraniumridge._internal.utils import codec

logger = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.0
LATE_READS = 2


@registry.PLUGINS.register("promises")
class Promises(kernel.Plugin):
    """Gives this domain's promises and gathers the others'."""

    def __init__(self, owner):
        super().__init__(owner)
        ttl_s = self._settings.authority.evidence_ttl_s
        self._promises = promises.Promises(ttl_s)
        self._is_speaking = False

    async def start(self, nursery):
        """Register the calls and start to gather."""
        self._nursery = nursery
        self._configuration = self._kernel.get("configuration")
        self._membership = self._kernel.get("membership")
        self._peers = self._kernel.get("peers")
        self._terms = self._kernel.get("terms")
        self._membership.add_listener(self._note_speaking)
        self._peers.handle(wire.messages.Promise, self._answer_promise)
        self._peers.handle(wire.messages.Close, self._answer_close)
        nursery.start_soon(self._run)

    async def close(self, domain, group, term):
        """Ask a domain to close a group; returns the seconds to wait.

        Raises
        ------
        exceptions.UnavailableError
            If nobody speaks for the domain.
        """
        message = wire.messages.Close(group=group, term=term)
        answer = await self._call_speaker(domain, message)
        return answer.remaining_s

    def _note_speaking(self):
        speaking = self._membership.speaks_for_domain()
        if speaking and not self._is_speaking:
            self._promises.begin(trio.current_time())
        if not speaking and self._is_speaking:
            self._promises.end()
        self._is_speaking = speaking

    async def _answer_promise(self, message):
        self._note_speaking()
        authority = self._terms.authority
        self._promises.note_record(authority.record.groups)
        result = self._promises.promise(
            trio.current_time(),
            authority.read_at,
            authority.revision,
            message.revision,
        )
        answer = wire.messages.PromiseAnswer(
            promised=result.promised,
            closed=sorted(result.closed),
            revision=authority.revision,
        )
        if authority.revision > message.revision:
            groups = codec.encode(authority.record.groups)
            answer.terms = msgspec.json.encode(groups).decode()
        return answer

    async def _answer_close(self, message):
        self._note_speaking()
        now = trio.current_time()
        result = self._promises.close(now, message.group, message.term)
        if not result.closed:
            raise exceptions.MisroutedError("not the domain's speaker")
        logger.info(
            "group closed to promises",
            extra={
                "event": "group_closed",
                "group": message.group,
                "term": message.term,
            },
        )
        return wire.messages.CloseAnswer(
            closed=True, remaining_s=result.remaining_s
        )

    async def _run(self):
        settings = self._settings.authority
        while True:
            self._note_speaking()
            now = trio.current_time()
            age_s = self._terms.authority.get_evidence_age(now)
            late = age_s > LATE_READS * settings.read_every_s
            if late and self._membership.cell.is_leader:
                await self._gather()
            await trio.sleep(settings.read_every_s)

    async def _gather(self):
        """Ask every domain's speaker; enough promises are evidence."""
        sent_at = trio.current_time()
        revision = self._terms.authority.revision
        domains = list(self._configuration.document.domains)
        answers = []
        async with trio.open_nursery() as nursery:
            for domain in domains:
                nursery.start_soon(self._ask, domain, revision, answers)
        promised = [answer for answer in answers if answer.promised]
        if not promises.is_majority(len(promised), len(domains)):
            return
        closed = set().union(*(item.closed or [] for item in promised))
        self._terms.note_promises(sent_at, revision, closed)

    async def _ask(self, domain, revision, answers):
        message = wire.messages.Promise(
            domain=self._settings.vm.domain, revision=revision
        )
        try:
            answer = await self._call_speaker(domain, message)
        except (exceptions.NetworkError, exceptions.RequestError) as error:
            logger.debug("no promise", extra={"reason": str(error)})
            return
        if answer.terms:
            groups = msgspec.json.decode(answer.terms)
            record = terms_plugin.decode_record(groups)
            self._terms.learn(answer.revision, record)
        answers.append(answer)

    async def _call_speaker(self, domain, message):
        leader = self._membership.find_leader(domain)
        if leader is None:
            raise exceptions.UnavailableError(f"no speaker for {domain}")
        if leader == self._membership.me:
            if isinstance(message, wire.messages.Promise):
                return await self._answer_promise(message)
            return await self._answer_close(message)
        return await self._peers.call(leader.address, message, CALL_TIMEOUT_S)
