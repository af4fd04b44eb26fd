"""Exceptions of the project, with one base class per layer.

Each layer translates the exceptions of the layer below into its own. A
message names what failed and, where possible, what the user can do.
"""


class GeraniumridgeError(Exception):
    """Base class of all exceptions that are raised on purpose."""


class SettingsError(GeraniumridgeError):
    """Invalid settings or configuration input.

    Parameters
    ----------
    source : str
        File or document that contains the errors.
    problems : list of str
        One line per error: key, then reason.
    """

    def __init__(self, source, problems):
        self.source = source
        self.problems = list(problems)
        lines = "\n".join(f"{source}: {item}" for item in self.problems)
        super().__init__(lines)


class NetworkError(GeraniumridgeError):
    """Failure to reach another process or to get a valid answer."""


class NotSentError(NetworkError):
    """Request that certainly did not reach the other side."""


class ConnectionLimitError(NotSentError):
    """A target has no connection left for this VM."""


class ConnectionLostError(NetworkError):
    """Request without an answer; it may have reached the other side."""


class ProtocolError(NetworkError):
    """Input from the other side that violates the protocol."""


class CallerBoundError(GeraniumridgeError):
    """A caller's connection would exceed one of its own bounds.

    The argument is the name of the bound in the settings.
    """


class AnswerInterruptedError(GeraniumridgeError):
    """Answer of which a caller has received some rows but not the end."""


class PlatformError(GeraniumridgeError):
    """Failed operation of the platform's key-value service."""


class PlatformUnavailableError(PlatformError):
    """Operation without an answer; a write may have taken effect."""


class ConflictError(PlatformError):
    """Compare-and-swap that lost against another writer.

    Parameters
    ----------
    message : str
        What failed.
    current : object, optional
        The record that is stored now.
    """

    def __init__(self, message, current=None):
        self.current = current
        super().__init__(message)


class HistoryLostError(PlatformError):
    """Changes that the store no longer holds; list the records again."""


class LeaseLostError(PlatformError):
    """Lease that has ended; open a new one."""


class TargetRefusedError(NetworkError):
    """Refusal in the answer of a target or of the platform.

    Parameters
    ----------
    message : str
        What failed.
    outcome : models.statements.Outcome or None
        Outcome in the answer, if it is one of the statement outcomes.
    """

    def __init__(self, message, outcome=None):
        self.outcome = outcome
        super().__init__(message)


class ConfigurationError(GeraniumridgeError):
    """Configuration change that cannot be accepted."""


class RequestError(GeraniumridgeError):
    """Request of a caller that ends without a result.

    Parameters
    ----------
    detail : str
        One sentence for the caller.

    Attributes
    ----------
    status : int
        HTTP status code.
    code : str
        Stable short name; the last part of the problem type.
    executed : str
        ``"not run"`` if the target certainly did not execute the
        request, ``"rolled back"`` if none of its effects remain, else
        ``"unknown"``.
    can_reroute : bool
        Whether another route may succeed immediately.
    retry_after_s : float or None
        Delay that is suggested to the caller, in seconds.
    """

    status = 500
    code = "internal"
    executed = "not run"
    can_reroute = False
    retry_after_s = None

    def __init__(self, detail, retry_after_s=None):
        super().__init__(detail)
        self.detail = detail
        if retry_after_s is not None:
            self.retry_after_s = retry_after_s


class BadRequestError(RequestError):
    """Malformed request."""

    status = 400
    code = "bad-request"


class UnauthorizedError(RequestError):
    """Missing, unknown or withdrawn key."""

    status = 401
    code = "unauthorized"


class ForbiddenError(RequestError):
    """Request that the team's plan does not allow."""

    status = 403
    code = "forbidden"


class NotFoundError(RequestError):
    """Unknown route, group or transaction."""

    status = 404
    code = "not-found"


class MethodNotAllowedError(RequestError):
    """HTTP method that an existing route does not support."""

    status = 405
    code = "method-not-allowed"


class RequestTooLargeError(RequestError):
    """Request whose header or body exceeds its limit."""

    status = 413
    code = "too-large"


class SessionLostError(RequestError):
    """Session whose last write was lost in a change of primary."""

    status = 409
    code = "session-lost"


class StatementError(RequestError):
    """Statement that the target ran and rejected."""

    status = 422
    code = "statement-rejected"
    executed = "rolled back"


class RateLimitedError(RequestError):
    """Request above the team's rate limit."""

    status = 429
    code = "rate-limited"
    retry_after_s = 1.0


class TargetBehindError(RequestError):
    """Target that has not applied the writes that the request needs."""

    status = 503
    code = "behind"
    can_reroute = True


class MisroutedError(RequestError):
    """Target that the VM does not own, or that is not the primary."""

    status = 503
    code = "misrouted"
    can_reroute = True


class OverloadedError(RequestError):
    """Request that met a full queue or waited past its deadline."""

    status = 503
    code = "overloaded"
    retry_after_s = 1.0


class UnavailableError(RequestError):
    """No route to a target that may serve the request."""

    status = 503
    code = "unavailable"
    can_reroute = True
    retry_after_s = 1.0


class StoppingError(RequestError):
    """Daemon that cannot serve the request now, but another one may.

    It is stopping, its configuration has not been current since it started
    (absent, or older than the leader's), or its domain has been cut off for
    too long.
    """

    status = 503
    code = "stopping"
    can_reroute = True
    retry_after_s = 1.0


class OutcomeUnknownError(RequestError):
    """Request that reached a target and whose outcome is not known."""

    status = 504
    code = "outcome-unknown"
    executed = "unknown"


REQUEST_ERRORS_BY_CODE = {
    error_class.code: error_class
    for error_class in (
        BadRequestError,
        UnauthorizedError,
        ForbiddenError,
        NotFoundError,
        MethodNotAllowedError,
        RequestTooLargeError,
        SessionLostError,
        StatementError,
        RateLimitedError,
        TargetBehindError,
        MisroutedError,
        OverloadedError,
        UnavailableError,
        StoppingError,
        OutcomeUnknownError,
    )
}
"""Classes of request errors by their code, to decode those of peers."""
