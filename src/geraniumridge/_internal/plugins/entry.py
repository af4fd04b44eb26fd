"""Route statements of callers to the gateways of targets."""

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

FIRST_RETRY_DELAY_S = 0.02
"""Delay after the first round of routes; it doubles with each round."""

MAX_RETRY_DELAY_S = 0.32
"""Bounds the delay between two rounds of routes."""

TERM_WAIT_TIMEOUT_S = 2.0
"""Bounds the wait until this VM's terms record has a term seen elsewhere."""

DEFAULT_MAX_STALENESS_MS = 1_000
"""Age that the data of a read may have if the request names no bound."""


class Caller(typing.NamedTuple):
    """Team that a request runs for, with its key and its plan's limits."""

    team: str
    key_hash: str
    plan_use: config.PlanUse


class StatementResult(typing.NamedTuple):
    """Outcome of a statement, from which the HTTP response is made."""

    answer: dict
    session: typing.Any
    target: str
    is_primary: bool
    transaction: str = ""


@registry.PLUGINS.register("entry")
class StatementRouter(kernel.Plugin):
    """Routing of statements, with retries that cannot run one twice."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        self._replica_tracker = routing.ReplicaTracker()
        self._retry_budget = retry.RetryBudget()

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
            Statement to run.
        session : models.session.Session
            Log positions that the session has seen.
        options : dict
            ``request_id`` and ``idempotency_key``.

        Returns
        -------
        StatementResult

        Raises
        ------
        exceptions.RequestError
            If no attempt succeeded.
        """
        await self._admission.admit(caller.team)
        log_position = session.get_position(group)
        is_write = body.mode == "write"
        message = wire.messages.Statement(
            group=group,
            team=caller.team,
            key_hash=caller.key_hash,
            action="statement",
            is_write=is_write,
            sql=body.sql,
            params=msgspec.json.encode(body.params).decode(),
            min_term=log_position.term,
            min_position=log_position.position,
            weight=caller.plan_use.weight,
            **options,
        )
        max_staleness_ms = body.max_staleness_ms
        if max_staleness_ms is None:
            max_staleness_ms = DEFAULT_MAX_STALENESS_MS
        message.max_age_ms = max_staleness_ms
        is_repeatable = (
            not is_write or body.repeatable or bool(options["idempotency_key"])
        )
        # Only the primary's data is certain to have no age.
        primary_only = is_write or max_staleness_ms == 0
        return await self._run_with_retries(
            message, session, primary_only, is_repeatable
        )

    async def begin(self, caller, group, session, options):
        """Open a transaction on the group's primary."""
        await self._admission.admit(caller.team)
        log_position = session.get_position(group)
        message = wire.messages.Statement(
            group=group,
            team=caller.team,
            key_hash=caller.key_hash,
            action="begin",
            is_write=True,
            min_term=log_position.term,
            min_position=log_position.position,
            weight=caller.plan_use.weight,
            **options,
        )
        return await self._run_with_retries(message, session, True, True)

    async def run_in_transaction(self, caller, name, action, body, options):
        """Run a step, the commit or the rollback of a transaction."""
        if action == "step":
            await self._admission.admit(caller.team)
        vm_name, _, _ = name.partition("~")
        member = self._membership.find_vm(vm_name)
        if member is None:
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
        timeout_s = self._settings.limits.request_timeout_s
        message.deadline_ms = int(timeout_s * 1000)
        return await self._send_to_gateway(member, message, deadline)

    def _get_deadline(self):
        timeout_s = self._settings.limits.request_timeout_s
        return trio.current_time() + timeout_s

    async def _run_with_retries(
        self, message, session, primary_only, is_repeatable
    ):
        deadline = self._get_deadline()
        self._retry_budget.note_first_attempt()
        last_error = exceptions.UnavailableError(
            "no target can serve the request"
        )
        unknown_error = None
        delay_s = FIRST_RETRY_DELAY_S
        while True:
            for route in await self._list_routes(message, primary_only):
                try:
                    return await self._try_route(
                        message, route, session, deadline
                    )
                except exceptions.RequestError as error:
                    if isinstance(error, exceptions.OutcomeUnknownError):
                        unknown_error = error
                    last_error = _combine_errors(unknown_error, error)
                    if not _may_retry(error, is_repeatable):
                        raise last_error
                # Counts failed attempts that may be retried; the budget or
                # the deadline may still prevent the retry.
                self._metrics.count("retries")
                if not self._retry_budget.take_retry():
                    break
            # The first attempt of the next round is not charged to the
            # retry budget, as the delay bounds its load.
            if trio.current_time() + delay_s >= deadline:
                raise last_error
            await self._terms.wait_changed(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _list_routes(self, message, primary_only):
        document = self._configuration.document
        if message.group not in document.groups:
            raise exceptions.NotFoundError(f"group {message.group!r}")
        group_term = self._terms.evidence.get_group(message.group)
        if group_term is None:
            return []
        log_position = records.LogPosition(
            message.min_term, message.min_position
        )
        await self._check_session(message.group, log_position)
        query = routing.RouteQuery(
            message.group,
            log_position,
            message.is_write,
            primary_only,
            self._settings.vm.domain,
            trio.current_time(),
        )
        return list(
            routing.list_routes(
                query, document, group_term, self._replica_tracker
            )
        )

    async def _check_session(self, group, session_position):
        """Refuse a session whose last write was lost in a failover.

        Raises
        ------
        exceptions.SessionLostError
            If a later term began before the session's position.
        exceptions.UnavailableError
            If this VM does not learn the session's term in time.
        """
        await self._wait_for_term(group, session_position.term)
        if self._terms.evidence.get_group(group).is_lost(session_position):
            raise exceptions.SessionLostError(
                f"the session's last write in {group} was lost in a"
                " change of primary; drop the session token to go on"
            )

    async def _wait_for_term(self, group, term):
        """Wait until this VM's terms record has a term seen elsewhere.

        Raises
        ------
        exceptions.UnavailableError
            If it has not after `TERM_WAIT_TIMEOUT_S`.
        """
        if self._terms.evidence.get_group(group).term >= term:
            return
        with trio.move_on_after(TERM_WAIT_TIMEOUT_S):
            while self._terms.evidence.get_group(group).term < term:
                await self._terms.wait_changed(TERM_WAIT_TIMEOUT_S)
        if self._terms.evidence.get_group(group).term < term:
            raise exceptions.UnavailableError(
                f"{group}: term {term} is not yet known on this VM"
            )

    async def _try_route(self, message, route, session, deadline):
        gateway = self._membership.find_gateway(
            route.domain, message.group, route.target
        )
        if gateway is None:
            raise exceptions.UnavailableError(
                f"no gateway in domain {route.domain}"
            )
        message.target = route.target
        message.is_primary = route.is_primary
        now = trio.current_time()
        message.deadline_ms = int((deadline - now) * 1000)
        try:
            answer = await self._send_to_gateway(gateway, message, deadline)
        except (
            exceptions.UnavailableError,
            exceptions.OutcomeUnknownError,
        ):
            self._replica_tracker.note_fault(route.target, trio.current_time())
            raise
        return await self._make_result(message, route, session, answer)

    async def _make_result(self, message, route, session, answer):
        data = msgspec.json.decode(answer.body)
        log_position = records.LogPosition(answer.term, answer.position)
        now = trio.current_time()
        if message.is_write:
            self._replica_tracker.note_commit(message.group, log_position, now)
        elif not route.is_primary:
            data_age_s = data.get("age_ms", 0) / 1000
            self._replica_tracker.note_answer(
                route.target, log_position, data_age_s
            )
            session_position = records.LogPosition(
                message.min_term, message.min_position
            )
            if log_position.term > session_position.term:
                await self._wait_for_term(message.group, log_position.term)
                await self._check_session(message.group, session_position)
        return StatementResult(
            data,
            session.advance(message.group, log_position),
            route.target,
            route.is_primary,
            answer.transaction or "",
        )

    async def _send_to_gateway(self, member, message, deadline):
        """Send a message to a gateway, on this or on another VM."""
        timeout_s = deadline - trio.current_time()
        if member.name == self._settings.vm.name:
            return await self._gateway.run_statement(message)
        try:
            return await self._peers.call(member.address, message, timeout_s)
        except exceptions.NotSentError as error:
            raise exceptions.UnavailableError(str(error))
        except exceptions.ConnectionLostError as error:
            raise exceptions.OutcomeUnknownError(str(error))


def _may_retry(error, is_repeatable):
    if error.executed == "not run":
        return error.can_reroute
    is_unknown = isinstance(error, exceptions.OutcomeUnknownError)
    return is_unknown and is_repeatable


def _combine_errors(unknown_error, error):
    """Return the error that holds for all attempts together.

    Once the outcome of one attempt is unknown, so is that of the
    request, whatever happened to the later attempts.
    """
    if unknown_error is None or error.executed == "unknown":
        return error
    return exceptions.OutcomeUnknownError(
        f"{unknown_error.detail}; then: {error.detail}"
    )


@contextlib.contextmanager
def measure_request(metrics, team, kind):
    """Record the latency of a request, and count it by code if it fails.

    The ``refused:`` counters include requests that failed in any way.
    """
    began_at = trio.current_time()
    try:
        yield
    except exceptions.RequestError as error:
        metrics.count(f"refused:{error.code}")
        metrics.count(f"refused:{error.code}:{team}")
        raise
    finally:
        metrics.record_latency(team, kind, trio.current_time() - began_at)
