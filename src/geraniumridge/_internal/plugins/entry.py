"""Entry: takes a caller's statement to a target and back."""

import contextlib
import typing

import msgspec
import trio

from geraniumridge._internal.decisions import retry
from geraniumridge._internal.decisions import routing
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import config
from geraniumridge._internal.models import records
from geraniumridge._internal.network import wire

FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.32
TERM_WAIT_S = 2.0
DEFAULT_STALENESS_MS = 1_000


class Caller(typing.NamedTuple):
    """On whose behalf a request runs."""

    team: str
    key_hash: str
    use: config.PlanUse


class Result(typing.NamedTuple):
    """Outcome of a statement for the front."""

    answer: dict
    session: typing.Any
    target: str
    is_primary: bool
    transaction: str = ""


@registry.PLUGINS.register("entry")
class Entry(kernel.Plugin):
    """Routes statements, with retries that cannot run one twice."""

    def __init__(self, owner):
        super().__init__(owner)
        self._book = routing.ReplicaTracker()
        self._budget = retry.RetryBudget()

    async def start(self, nursery):
        """Look up the other plug-ins."""
        self._admission = self._kernel.get("admission")
        self._configuration = self._kernel.get("configuration")
        self._gateway = self._kernel.get("gateway")
        self._membership = self._kernel.get("membership")
        self._metrics = self._kernel.get("metrics")
        self._peers = self._kernel.get("peers")
        self._terms = self._kernel.get("terms")

    async def run(self, caller, group, body, session, options):
        """Run one statement outside a transaction.

        Parameters
        ----------
        caller : Caller
            The authenticated team.
        group : str
            The database group.
        body : models.requests.StatementBody
            What to run.
        session : models.session.Session
            What the session has seen.
        options : dict
            ``request_id`` and ``idempotency_key``.

        Returns
        -------
        Result
        """
        await self._admission.admit(caller.team)
        mark = session.get_position(group)
        write = body.mode == "write"
        message = wire.messages.Statement(
            group=group,
            team=caller.team,
            key_hash=caller.key_hash,
            action="statement",
            is_write=write,
            sql=body.sql,
            params=msgspec.json.encode(body.params).decode(),
            min_term=mark.term,
            min_position=mark.position,
            weight=caller.use.weight,
            **options,
        )
        staleness_ms = body.max_staleness_ms
        if staleness_ms is None:
            staleness_ms = DEFAULT_STALENESS_MS
        message.max_age_ms = staleness_ms
        repeatable = (
            not write or body.repeatable or bool(options["idempotency_key"])
        )
        only_primary = write or staleness_ms == 0
        return await self._run_routes(
            message, session, only_primary, repeatable
        )

    async def begin(self, caller, group, session, options):
        """Open a transaction on the group's primary."""
        await self._admission.admit(caller.team)
        mark = session.get_position(group)
        message = wire.messages.Statement(
            group=group,
            team=caller.team,
            key_hash=caller.key_hash,
            action="begin",
            is_write=True,
            min_term=mark.term,
            min_position=mark.position,
            weight=caller.use.weight,
            **options,
        )
        return await self._run_routes(message, session, True, True)

    async def run_in_transaction(self, caller, name, action, body, options):
        """Run a step, the commit or the rollback of a transaction."""
        if action == "step":
            await self._admission.admit(caller.team)
        vm, _, _ = name.partition("~")
        peer = self._membership.find_vm(vm)
        if peer is None:
            raise exceptions.NotFoundError(
                "no such transaction; it ended or was rolled back"
            )
        message = wire.messages.Statement(
            team=caller.team,
            key_hash=caller.key_hash,
            action=action,
            transaction=name,
            is_write=body.mode == "write" if body else action == "commit",
            sql=body.sql if body else "",
            params=msgspec.json.encode(body.params if body else []).decode(),
            **options,
        )
        deadline = self._get_deadline()
        limit_s = self._settings.limits.request_timeout_s
        message.deadline_ms = int(limit_s * 1000)
        return await self._send(peer, message, deadline)

    def _get_deadline(self):
        limit = self._settings.limits.request_timeout_s
        return trio.current_time() + limit

    async def _run_routes(self, message, session, only_primary, repeatable):
        deadline = self._get_deadline()
        self._budget.note_first_attempt()
        last = exceptions.UnavailableError("no target can serve the request")
        unknown = None
        pause_s = FIRST_PAUSE_S
        while True:
            for route in await self._list_routes(message, only_primary):
                try:
                    return await self._try(message, route, session, deadline)
                except exceptions.RequestError as error:
                    if isinstance(error, exceptions.OutcomeUnknownError):
                        unknown = error
                    last = _combine(unknown, error)
                    if not _may_retry(error, repeatable):
                        raise last
                self._metrics.count("retries")
                if not self._budget.take_retry():
                    break
            # After a pause a retry is no added load worth a budget.
            if trio.current_time() + pause_s >= deadline:
                raise last
            await self._terms.wait_changed(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def _list_routes(self, message, only_primary):
        document = self._configuration.document
        if message.group not in document.groups:
            raise exceptions.NotFoundError(f"group {message.group!r}")
        term = self._terms.authority.get_group(message.group)
        if term is None:
            return []
        mark = records.LogPosition(message.min_term, message.min_position)
        await self._check_session(message.group, mark)
        query = routing.RouteQuery(
            message.group,
            mark,
            message.is_write,
            only_primary,
            self._settings.vm.domain,
            trio.current_time(),
        )
        return list(routing.list_routes(query, document, term, self._book))

    async def _check_session(self, group, mark):
        """Refuse a session whose write no primary has any more."""
        await self._learn_term(group, mark.term)
        if self._terms.authority.get_group(group).is_lost(mark):
            raise exceptions.SessionLostError(
                f"the session's last write in {group} was lost in a"
                " change of primary; drop the session token to go on"
            )

    async def _learn_term(self, group, term):
        """Wait until the record knows a term that was seen."""
        if self._terms.authority.get_group(group).term >= term:
            return
        with trio.move_on_after(TERM_WAIT_S):
            while self._terms.authority.get_group(group).term < term:
                await self._terms.wait_changed(TERM_WAIT_S)
        if self._terms.authority.get_group(group).term < term:
            raise exceptions.UnavailableError(
                f"{group}: term {term} is not yet known on this VM"
            )

    async def _try(self, message, route, session, deadline):
        owner = self._membership.find_owner(
            route.domain, f"{message.group}/{route.target}"
        )
        if owner is None:
            raise exceptions.UnavailableError(
                f"no gateway in domain {route.domain}"
            )
        message.target = route.target
        message.is_primary = route.is_primary
        now = trio.current_time()
        message.deadline_ms = int((deadline - now) * 1000)
        try:
            answer = await self._send(owner, message, deadline)
        except (
            exceptions.UnavailableError,
            exceptions.OutcomeUnknownError,
        ):
            self._book.note_fault(route.target, trio.current_time())
            raise
        return await self._make_result(message, route, session, answer)

    async def _make_result(self, message, route, session, answer):
        data = msgspec.json.decode(answer.body)
        mark = records.LogPosition(answer.term, answer.position)
        now = trio.current_time()
        if message.is_write:
            self._book.note_commit(message.group, mark, now)
        elif not route.is_primary:
            age_s = data.get("age_ms", 0) / 1000
            self._book.note_answer(route.target, mark, age_s)
            seen = records.LogPosition(message.min_term, message.min_position)
            if mark.term > seen.term:
                await self._learn_term(message.group, mark.term)
                await self._check_session(message.group, seen)
        return Result(
            data,
            session.advance(message.group, mark),
            route.target,
            route.is_primary,
            answer.transaction or "",
        )

    async def _send(self, peer, message, deadline):
        """Hand a message to a gateway, here or on another VM."""
        timeout_s = deadline - trio.current_time()
        if peer.name == self._settings.vm.name:
            return await self._gateway.run_statement(message)
        try:
            return await self._peers.call(peer.address, message, timeout_s)
        except exceptions.NotSentError as error:
            raise exceptions.UnavailableError(str(error))
        except exceptions.ConnectionLostError as error:
            raise exceptions.OutcomeUnknownError(str(error))


def _may_retry(error, repeatable):
    if error.executed == "not run":
        return error.can_reroute
    unknown = isinstance(error, exceptions.OutcomeUnknownError)
    return unknown and repeatable


def _combine(unknown, error):
    """Return the error that is true of every attempt together."""
    if unknown is None or error.executed == "unknown":
        return error
    return exceptions.OutcomeUnknownError(
        f"{unknown.detail}; then: {error.detail}"
    )


@contextlib.contextmanager
def measure(metrics, team, kind):
    """Record the latency of a block, and its refusal if it fails."""
    began_at = trio.current_time()
    try:
        yield
    except exceptions.RequestError as error:
        metrics.count(f"refused:{error.code}")
        metrics.count(f"refused:{error.code}:{team}")
        raise
    finally:
        metrics.record_latency(team, kind, trio.current_time() - began_at)
