"""Grant and collect promises while the platform is out of reach.

A promise is a domain's undertaking to take part in no promotion for a
limited time, except of the groups that it has closed. Promises of most
domains confirm that no later term can come into force, as a recent read
of the terms record does. The leader of a domain's cell, that is of the
VMs that follow it, promises for the domain.
"""

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
"""Bounds one call to the leader of a domain."""

ASK_AFTER_READ_INTERVALS = 2
"""Age of the last read of the terms record, in read intervals, above which
promises are requested."""


@registry.PLUGINS.register("promises")
class Promises(kernel.Plugin):
    """Promises of this domain, and those that it asks of all domains."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        ttl_s = self._settings.authority.evidence_ttl_s
        self._own_promises = promises.DomainPromises(ttl_s)
        self._leads_domain_majority = False

    async def start(self, nursery):
        """Register the message handlers and start the collection."""
        self._nursery = nursery
        self._configuration = self._kernel.get("configuration")
        self._membership = self._kernel.get("membership")
        self._peers = self._kernel.get("peers")
        self._terms = self._kernel.get("terms")
        self._membership.add_listener(self._update_domain_leadership)
        self._peers.handle(wire.messages.Promise, self._answer_promise)
        self._peers.handle(wire.messages.Close, self._answer_close)
        nursery.start_soon(self._collect_while_reads_fail)

    async def request_close(self, domain, group, term):
        """Ask a domain to give no more promises for a group.

        Returns
        -------
        float
            How long the domain's promises may still hold, in seconds.

        Raises
        ------
        exceptions.UnavailableError
            If the domain's leader is not known.
        exceptions.MisroutedError
            If the leader that is known does not lead a majority of the
            domain's VMs.
        """
        message = wire.messages.Close(group=group, term=term)
        answer = await self._call_domain_leader(domain, message)
        return answer.remaining_s

    def _update_domain_leadership(self):
        """Note whether this VM has begun or ceased to lead its domain."""
        leads_domain_majority = self._membership.leads_domain_majority()
        if leads_domain_majority and not self._leads_domain_majority:
            self._own_promises.start_leading(trio.current_time())
        if not leads_domain_majority and self._leads_domain_majority:
            self._own_promises.stop_leading()
        self._leads_domain_majority = leads_domain_majority

    async def _answer_promise(self, message):
        self._update_domain_leadership()
        evidence = self._terms.evidence
        self._own_promises.forget_closings(evidence.record.groups)
        result = self._own_promises.give_promise(
            trio.current_time(),
            evidence.read_at,
            evidence.revision,
            message.revision,
        )
        answer = wire.messages.PromiseAnswer(
            promised=result.promised,
            closed=sorted(result.closed),
            revision=evidence.revision,
        )
        if evidence.revision > message.revision:
            groups = codec.encode(evidence.record.groups)
            answer.terms = msgspec.json.encode(groups).decode()
        return answer

    async def _answer_close(self, message):
        self._update_domain_leadership()
        now = trio.current_time()
        result = self._own_promises.close_group(
            now, message.group, message.term
        )
        if not result.closed:
            raise exceptions.MisroutedError("not the domain's speaker")
        logger.info(
            "giving no more promises for the group",
            extra={
                "event": "group_closed",
                "group": message.group,
                "term": message.term,
            },
        )
        return wire.messages.CloseAnswer(
            closed=True, remaining_s=result.remaining_s
        )

    async def _collect_while_reads_fail(self):
        settings = self._settings.authority
        while True:
            self._update_domain_leadership()
            now = trio.current_time()
            age_s = self._terms.evidence.get_read_age(now)
            is_read_late = (
                age_s > ASK_AFTER_READ_INTERVALS * settings.read_every_s
            )
            if is_read_late and self._membership.cell.is_leader:
                await self._collect_promises()
            await trio.sleep(settings.read_every_s)

    async def _collect_promises(self):
        """Ask all domains for promises; note them if most domains agree."""
        sent_at = trio.current_time()
        revision = self._terms.evidence.revision
        domains = list(self._configuration.document.domains)
        answers = []
        async with trio.open_nursery() as nursery:
            for domain in domains:
                nursery.start_soon(
                    self._request_promise, domain, revision, answers
                )
        positive_answers = [answer for answer in answers if answer.promised]
        if not promises.is_majority(len(positive_answers), len(domains)):
            return
        closed_groups = set().union(
            *(item.closed or [] for item in positive_answers)
        )
        self._terms.note_promises(sent_at, revision, closed_groups)

    async def _request_promise(self, domain, revision, answers):
        message = wire.messages.Promise(
            domain=self._settings.vm.domain, revision=revision
        )
        try:
            answer = await self._call_domain_leader(domain, message)
        except (exceptions.NetworkError, exceptions.RequestError) as error:
            logger.debug(
                "request for a promise failed", extra={"reason": str(error)}
            )
            return
        if answer.terms:
            groups = msgspec.json.decode(answer.terms)
            record = terms_plugin.decode_record(groups)
            self._terms.adopt_record(answer.revision, record)
        answers.append(answer)

    async def _call_domain_leader(self, domain, message):
        leader = self._membership.find_leader(domain)
        if leader is None:
            raise exceptions.UnavailableError(f"no speaker for {domain}")
        if leader == self._membership.me:
            if isinstance(message, wire.messages.Promise):
                return await self._answer_promise(message)
            return await self._answer_close(message)
        return await self._peers.call(leader.address, message, CALL_TIMEOUT_S)
