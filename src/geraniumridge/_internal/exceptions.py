"""All errors of the project, one branch of the tree per layer.

Each layer turns the errors of the layer below into its own. A message
names what was wrong and, where there is one, what the user can do.
"""


class GeraniumridgeError(Exception):
    """Base of every error raised on purpose."""


class SettingsError(GeraniumridgeError):
    """Settings or configuration input that cannot be used.

    Parameters
    ----------
    source : str
        File or document that holds the fault.
    problems : list of str
        One line per fault: key, then reason.
    """

    def __init__(self, source, problems):
        self.source = source
        self.problems = list(problems)
        lines = "\n".join(f"{source}: {item}" for item in self.problems)
        super().__init__(lines)


class NetworkError(GeraniumridgeError):
    """A peer could not be reached or broke the protocol."""


class NotSentError(NetworkError):
    """The request provably did not reach the other side."""


class ConnectionLostError(NetworkError):
    """The request may have reached the other side; no answer came."""


class ProtocolError(NetworkError):
    """The other side sent something that the protocol forbids."""


class PlatformError(GeraniumridgeError):
    """The platform's key-value service did not do what was asked."""


class PlatformUnavailableError(PlatformError):
    """No answer from the platform; a write may have taken effect."""


class ConflictError(PlatformError):
    """A compare-and-swap lost against another writer.

    Parameters
    ----------
    message : str
        What was attempted.
    current : object, optional
        The record that is there now.
    """

    def __init__(self, message, current=None):
        self.current = current
        super().__init__(message)


class HistoryLostError(PlatformError):
    """The store no longer has the changes asked for; list again."""


class LeaseLostError(PlatformError):
    """The lease has ended; open a new one."""


class TargetRefusedError(NetworkError):
    """A target or the platform answered, and refused.

    Parameters
    ----------
    message : str
        What was attempted.
    outcome : models.statements.Outcome or None
        What it said, if it is one of the statement outcomes.
    """

    def __init__(self, message, outcome=None):
        self.outcome = outcome
        super().__init__(message)


class ConfigurationError(GeraniumridgeError):
    """A configuration change that cannot be accepted."""


class RequestError(GeraniumridgeError):
    """A caller's request that ends without a result.

    Parameters
    ----------
    detail : str
        One sentence for the caller.

    Attributes
    ----------
    status : int
        HTTP status code.
    code : str
        Stable short name, last part of the problem type.
    executed : str
        ``"not run"`` when the target provably did not execute the
        request, else ``"unknown"``.
    can_reroute : bool
        Whether another route may succeed at once.
    retry_after_s : float or None
        Hint for the caller, in seconds.
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
    """The request is malformed."""

    status = 400
    code = "bad-request"


class UnauthorizedError(RequestError):
    """The key is missing, unknown or withdrawn."""

    status = 401
    code = "unauthorized"


class ForbiddenError(RequestError):
    """The team's plan does not allow the request."""

    status = 403
    code = "forbidden"


class NotFoundError(RequestError):
    """No such route, group or transaction."""

    status = 404
    code = "not-found"


class MethodNotAllowedError(RequestError):
    """The route exists, but not for this method."""

    status = 405
    code = "method-not-allowed"


class RequestTooLargeError(RequestError):
    """The request's header or body exceeds its limit."""

    status = 413
    code = "too-large"


class SessionLostError(RequestError):
    """The session's last write was lost in a change of primary."""

    status = 409
    code = "session-lost"


class StatementError(RequestError):
    """The target ran the statement and rejected it."""

    status = 422
    code = "statement-rejected"
    executed = "rolled back"


class RateLimitedError(RequestError):
    """The team is above its rate."""

    status = 429
    code = "rate-limited"
    retry_after_s = 1.0


class TargetBehindError(RequestError):
    """The target has not applied what the request needs."""

    status = 503
    code = "behind"
    can_reroute = True


class MisroutedError(RequestError):
    """The VM does not own the target, or the target is not primary."""

    status = 503
    code = "misrouted"
    can_reroute = True


class OverloadedError(RequestError):
    """A queue is full or the request waited past its deadline."""

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
    """The daemon is stopping or is not ready yet."""

    status = 503
    code = "stopping"
    can_reroute = True
    retry_after_s = 1.0


class OutcomeUnknownError(RequestError):
    """The request reached a target and its outcome is not known."""

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
