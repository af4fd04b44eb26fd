"""HTTP interface for callers."""

import logging
import secrets

import msgspec
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import config
from geraniumridge._internal.models import requests
from geraniumridge._internal.models import session as sessions
from geraniumridge._internal.network import http
from geraniumridge._internal.network import streams
from geraniumridge._internal.plugins import entry
from geraniumridge._internal.utils import codec

logger = logging.getLogger(__name__)

SESSION_HEADER = "Geraniumridge-Session"
"""Header that carries the session token in both directions."""

MAX_IDEMPOTENCY_KEY_CHARS = 200
"""Longer idempotency keys are refused."""

DRAIN_POLL_INTERVAL_S = 0.02
"""Interval at which a stop checks for open connections."""

IDLE_CLOSE_DELAY_S = 0.5
"""Time between the start of a stop and the closing of idle connections.
Requests that arrive during it are served and told to close."""

ROUTES = registry.Registry("route")
"""Handlers by the first and the last part of the path after `/v1`."""


@registry.PLUGINS.register("front")
class Front(kernel.Plugin):
    """HTTP server that authenticates callers and runs their requests."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        limits = self._settings.limits
        self._limits = http.ServerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            head_timeout_s=limits.head_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )
        self._connections = set()
        self._listener_scope = None
        self._is_draining = False
        self._is_ready = False

    @property
    def connection_count(self):
        """Number of open connections of callers."""
        return len(self._connections)

    async def start(self, nursery):
        """Listen for callers."""
        self._configuration = self._kernel.get("configuration")
        self._entry = self._kernel.get("entry")
        self._metrics = self._kernel.get("metrics")
        tls = streams.make_server_context(
            self._settings.tls, require_peer=False
        )
        self._listener_scope = await streams.serve(
            nursery, self._settings.listen.callers, self._serve_connection, tls
        )

    async def drain(self):
        """Stop listening and wait until all connections are closed."""
        self._listener_scope.cancel()
        self._is_draining = True
        # Requests that arrive meanwhile are served before the connection
        # is closed.
        await trio.sleep(IDLE_CLOSE_DELAY_S)
        while self._connections:
            for connection in list(self._connections):
                connection.close_idle()
            await trio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _serve_connection(self, stream):
        if len(self._connections) >= self._settings.limits.max_connections:
            self._metrics.count("connections_refused")
            await trio.aclose_forcefully(stream)
            return
        connection = http.ServerConnection(
            stream,
            self._handle_request,
            self._limits,
            lambda: self._is_draining,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _handle_request(self, request):
        request_id = secrets.token_hex(8)
        try:
            self._check_ready()
            handler, path_params = _find_route(request)
            response = await handler(self, request, request_id, *path_params)
        except exceptions.RequestError as error:
            logger.info(
                "request refused",
                extra={
                    "event": "refused",
                    "request_id": request_id,
                    "code": error.code,
                    "executed": error.executed,
                },
            )
            return http.make_problem_response(error, request_id)
        return response

    @ROUTES.register(("groups", "statements"))
    async def _run_statement(self, request, request_id, group):
        body = _decode_body(request)
        caller = self._authorise(request, group, body.mode)
        session = sessions.decode_token(_get_session_token(request))
        options = {
            "request_id": request_id,
            "idempotency_key": _get_idempotency_key(request, caller),
        }
        with entry.measure_request(self._metrics, caller.team, body.mode):
            result = await self._entry.run(
                caller, group, body, session, options
            )
        self._check_key_in_force(caller)
        role = "primary" if result.is_primary else "replica"
        self._metrics.count(f"{body.mode}s:{role}")
        return _make_response(result, request_id)

    @ROUTES.register(("groups", "transactions"))
    async def _begin(self, request, request_id, group):
        caller = self._authorise(request, group, "write")
        session = sessions.decode_token(_get_session_token(request))
        options = {"request_id": request_id}
        with entry.measure_request(self._metrics, caller.team, "begin"):
            result = await self._entry.begin(caller, group, session, options)
        return _make_response(result, request_id)

    @ROUTES.register(("transactions", "statements"))
    async def _run_step(self, request, request_id, transaction):
        body = _decode_body(request)
        return await self._run_action(
            request, request_id, transaction, "step", body
        )

    @ROUTES.register(("transactions", "commit"))
    async def _commit(self, request, request_id, transaction):
        return await self._run_action(
            request, request_id, transaction, "commit"
        )

    @ROUTES.register(("transactions", "rollback"))
    async def _rollback(self, request, request_id, transaction):
        return await self._run_action(
            request, request_id, transaction, "rollback"
        )

    async def _run_action(
        self, request, request_id, transaction, action, body=None
    ):
        caller = self._authenticate(request)
        session = sessions.decode_token(_get_session_token(request))
        options = {"request_id": request_id}
        with entry.measure_request(self._metrics, caller.team, action):
            answer = await self._entry.run_in_transaction(
                caller, transaction, action, body, options
            )
        self._check_key_in_force(caller)
        data = msgspec.json.decode(answer.body)
        result = entry.StatementResult(data, session, "", True)
        return _make_response(result, request_id)

    def _authenticate(self, request):
        api_key = _get_api_key(request)
        if not api_key:
            raise exceptions.UnauthorizedError(
                "Authorization: a Bearer key is needed"
            )
        self._check_not_cut_off()
        key_hash = config.hash_key(api_key)
        team = self._configuration.find_team(key_hash)
        if team is None:
            raise exceptions.UnauthorizedError(
                "Authorization: the key is unknown or was withdrawn"
            )
        document = self._configuration.document
        use = document.use.get(document.plans.get(team))
        if use is None:
            raise exceptions.ForbiddenError(f"team {team} has no plan")
        return entry.Caller(team, key_hash, use)

    def _check_ready(self):
        """Refuse requests until the configuration has once been current."""
        self._is_ready = self._is_ready or self._configuration.is_current
        if not self._is_ready:
            raise exceptions.StoppingError(
                "this VM has started and has no configuration yet"
            )

    def _check_not_cut_off(self):
        """Refuse requests with a key if the list of keys may be too old.

        A domain that is cut off does not learn of withdrawn keys.
        """
        age_s = self._kernel.get("directory").contact_age_s
        if age_s > self._settings.limits.cut_off_s:
            raise exceptions.StoppingError(
                f"this domain has been cut off for {age_s:.0f} s"
            )

    def _authorise(self, request, group, mode):
        """Return the caller if its plan allows this mode on a group."""
        document = self._configuration.document
        group_entry = document.groups.get(group)
        if (
            group_entry is not None
            and group_entry.open_reads
            and mode == "read"
        ):
            if not _get_api_key(request):
                return self._make_anonymous_caller(document)
        caller = self._authenticate(request)
        if group_entry is None:
            raise exceptions.NotFoundError(f"group {group!r}")
        access = caller.plan_use.groups.get(group)
        if access is None or (mode == "write" and access == "read"):
            raise exceptions.ForbiddenError(
                f"the plan of team {caller.team} has no {mode} on {group}"
            )
        return caller

    def _make_anonymous_caller(self, document):
        plan = document.plans.get(config.OPEN_TEAM, "")
        use = document.use.get(plan)
        if use is None:
            raise exceptions.UnauthorizedError(
                f"no plan for team {config.OPEN_TEAM!r}: a key is needed"
            )
        return entry.Caller(config.OPEN_TEAM, "", use)

    def _check_key_in_force(self, caller):
        """Withhold the answer if the key was withdrawn during the request."""
        if self._configuration.find_team(caller.key_hash) == caller.team:
            return
        error = exceptions.UnauthorizedError("the key was withdrawn")
        error.executed = "unknown"
        raise error


def _find_route(request):
    path = request.path.partition("?")[0]
    parts = path.strip("/").split("/")
    if len(parts) == 4 and parts[0] == "v1":
        handler = ROUTES.find((parts[1], parts[3]))
        if handler is not None:
            if request.method != "POST":
                raise exceptions.MethodNotAllowedError(f"{path}: use POST")
            return handler, parts[2:3]
    raise exceptions.NotFoundError(f"route {path}; see docs/CALLERS.md")


def _get_api_key(request):
    value = request.headers.get("authorization", "")
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _get_session_token(request):
    return request.headers.get(SESSION_HEADER.lower(), "")


def _get_idempotency_key(request, caller):
    """Return the key prefixed with the team, so that teams never collide."""
    key = request.headers.get("idempotency-key", "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise exceptions.BadRequestError(
            f"Idempotency-Key: longer than {MAX_IDEMPOTENCY_KEY_CHARS}"
            " characters"
        )
    return f"{caller.team}/{key}" if key else ""


def _decode_body(request):
    try:
        data = msgspec.json.decode(request.body)
        return codec.decode(requests.StatementBody, data, "body")
    except msgspec.DecodeError as error:
        raise exceptions.BadRequestError(f"body: not valid JSON: {error}")
    except exceptions.SettingsError as error:
        raise exceptions.BadRequestError("; ".join(error.problems))


def _make_response(result, request_id):
    data = {"request_id": request_id}
    for key in ("rows", "rowcount", "replayed", "age_ms"):
        if key in result.answer:
            data[key] = result.answer[key]
    if result.transaction:
        data["transaction"] = result.transaction
    if result.target:
        data["target"] = result.target
    headers = [(SESSION_HEADER, sessions.encode_token(result.session))]
    return http.make_json_response(data, headers=headers)
