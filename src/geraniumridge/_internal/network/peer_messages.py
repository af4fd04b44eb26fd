"""Messages between proxies; generated from ``peers.thrift``.

Written by ``scripts/generate_messages``, not by hand. A field is given as its
type, its name and whether it is required; lists and structs have the type of
their items or their class before that.
"""

from thriftpy2 import thrift

TType = thrift.TType


class TokenRequest(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.STRING, "team", True),
        3: (TType.I32, "wanted", True),
        4: (TType.STRING, "domain", False),
    }
    default_spec = [
        ("number", None),
        ("team", None),
        ("wanted", None),
        ("domain", ""),
    ]


class TokenGrant(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.BOOL, "is_owner", True),
        3: (TType.I32, "tokens", True),
        4: (TType.I32, "retry_ms", True),
        5: (TType.I32, "pledge", True),
    }
    default_spec = [
        ("number", None),
        ("is_owner", None),
        ("tokens", None),
        ("retry_ms", None),
        ("pledge", None),
    ]


class ConfirmationRequest(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.I64, "revision", True),
    }
    default_spec = [("number", None), ("revision", None)]


class ConfirmationAnswer(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.STRING, "vm", True),
        3: (TType.LIST, "groups", TType.STRING, True),
        4: (TType.BOOL, "is_whole", True),
    }
    default_spec = [
        ("number", None),
        ("vm", None),
        ("groups", None),
        ("is_whole", None),
    ]


class TargetOccupancy(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.STRING, "target", True),
        2: (TType.I32, "calls", True),
        3: (TType.I32, "age_ms", True),
    }
    default_spec = [("target", None), ("calls", None), ("age_ms", None)]


class ChangesQuery(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.I64, "revision", True),
        3: (TType.I64, "last_revision", True),
        4: (TType.I32, "offset", True),
        5: (TType.LIST, "occupancies", (TType.STRUCT, TargetOccupancy), False),
    }
    default_spec = [
        ("number", None),
        ("revision", None),
        ("last_revision", None),
        ("offset", None),
        ("occupancies", []),
    ]


class ChangesAnswer(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.I64, "revision", True),
        3: (TType.I64, "age_ms", True),
        4: (TType.I32, "total", True),
        5: (TType.BINARY, "data", True),
        6: (TType.LIST, "occupancies", (TType.STRUCT, TargetOccupancy), False),
    }
    default_spec = [
        ("number", None),
        ("revision", None),
        ("age_ms", None),
        ("total", None),
        ("data", None),
        ("occupancies", []),
    ]


class ChangedItem(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.STRING, "key", True),
        2: (TType.I64, "revision", True),
        3: (TType.BOOL, "is_deleted", True),
        4: (TType.BINARY, "value", True),
    }
    default_spec = [
        ("key", None),
        ("revision", None),
        ("is_deleted", None),
        ("value", None),
    ]


class ChangeBatch(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.LIST, "items", (TType.STRUCT, ChangedItem), True),
    }
    default_spec = [("items", None)]


class ChangeNotification(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.STRING, "vm", True),
    }
    default_spec = [("vm", None)]


class HandoverRequest(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.STRING, "team", True),
        3: (TType.STRING, "vm", True),
    }
    default_spec = [("number", None), ("team", None), ("vm", None)]


class DomainFallback(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.STRING, "domain", True),
        2: (TType.I32, "rate", True),
    }
    default_spec = [("domain", None), ("rate", None)]


class HandoverAnswer(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.BOOL, "is_stopped", True),
        3: (TType.LIST, "fallbacks", (TType.STRUCT, DomainFallback), False),
    }
    default_spec = [("number", None), ("is_stopped", None), ("fallbacks", [])]


class StandbyRequest(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.STRING, "team", True),
        3: (TType.I32, "wanted", True),
    }
    default_spec = [("number", None), ("team", None), ("wanted", None)]


class FallbackRenewalRequest(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.STRING, "team", True),
        3: (TType.STRING, "domain", True),
        4: (TType.I32, "rate", True),
        5: (TType.BOOL, "is_in_use", True),
    }
    default_spec = [
        ("number", None),
        ("team", None),
        ("domain", None),
        ("rate", None),
        ("is_in_use", None),
    ]


class FallbackGrant(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.BOOL, "is_owner", True),
        3: (TType.I32, "rate", True),
    }
    default_spec = [("number", None), ("is_owner", None), ("rate", None)]


class FailoverAcknowledgement(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.STRING, "vm", True),
        3: (TType.STRING, "group", True),
        4: (TType.I64, "revision", True),
        5: (TType.STRING, "boot", False),
        6: (TType.I64, "term", False),
        7: (TType.I64, "position", False),
        8: (TType.I64, "covered_revision", False),
        9: (TType.I64, "sent_revision", False),
    }
    default_spec = [
        ("number", None),
        ("vm", None),
        ("group", None),
        ("revision", None),
        ("boot", ""),
        ("term", 0),
        ("position", 0),
        ("covered_revision", 0),
        ("sent_revision", 0),
    ]


class AcknowledgementReceipt(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
    }
    default_spec = [("number", None)]


class LeaseRenewalRequest(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.STRING, "vm", True),
        3: (TType.I64, "lease", True),
    }
    default_spec = [("number", None), ("vm", None), ("lease", None)]


class LeaseRenewalAnswer(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.BOOL, "is_renewed", True),
        3: (TType.BOOL, "is_lost", True),
    }
    default_spec = [("number", None), ("is_renewed", None), ("is_lost", None)]


class PositionQuery(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.STRING, "group", True),
    }
    default_spec = [("number", None), ("group", None)]


class PositionAnswer(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.I64, "term", True),
        3: (TType.I64, "position", True),
        4: (TType.I64, "age_ms", True),
    }
    default_spec = [
        ("number", None),
        ("term", None),
        ("position", None),
        ("age_ms", None),
    ]


class PositionNotice(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.STRING, "vm", True),
        2: (TType.STRING, "group", True),
    }
    default_spec = [("vm", None), ("group", None)]


class PrimarySuspicion(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.STRING, "group", True),
        2: (TType.STRING, "target", True),
    }
    default_spec = [("group", None), ("target", None)]


class SessionEntry(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.STRING, "name", True),
        2: (TType.STRING, "value", True),
    }
    default_spec = [("name", None), ("value", None)]


class LoanRequest(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.STRING, "target", True),
        2: (TType.I64, "started_ms", True),
        3: (TType.STRING, "team", True),
        4: (TType.I32, "timeout_ms", True),
    }
    default_spec = [
        ("target", None),
        ("started_ms", None),
        ("team", None),
        ("timeout_ms", None),
    ]


class LoanGrant(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.BOOL, "is_granted", True),
        2: (TType.BOOL, "is_lender", True),
        3: (TType.BOOL, "is_target_full", True),
        4: (TType.STRING, "detail", True),
        5: (TType.LIST, "values", (TType.STRUCT, SessionEntry), True),
        6: (TType.LIST, "prepared", (TType.STRUCT, SessionEntry), True),
    }
    default_spec = [
        ("is_granted", None),
        ("is_lender", None),
        ("is_target_full", None),
        ("detail", None),
        ("values", None),
        ("prepared", None),
    ]


class LoanReturn(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.LIST, "values", (TType.STRUCT, SessionEntry), True),
        2: (TType.LIST, "prepared", (TType.STRUCT, SessionEntry), True),
    }
    default_spec = [("values", None), ("prepared", None)]


class LoanExpired(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.STRING, "reason", True),
        2: (TType.BOOL, "is_late", True),
    }
    default_spec = [("reason", None), ("is_late", None)]


class TimeQuery(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
    }
    default_spec = [("number", None)]


class TimeAnswer(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.I64, "time_us", True),
    }
    default_spec = [("number", None), ("time_us", None)]


class UsageCounts(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.STRING, "vm", True),
        3: (TType.STRING, "boot", True),
        4: (TType.I64, "window", True),
        5: (TType.I64, "sequence", True),
        6: (TType.I32, "part", True),
        7: (TType.I32, "parts", True),
        8: (TType.I64, "covered_ms", True),
        9: (TType.BOOL, "is_final", True),
        10: (TType.BINARY, "counts", True),
    }
    default_spec = [
        ("number", None),
        ("vm", None),
        ("boot", None),
        ("window", None),
        ("sequence", None),
        ("part", None),
        ("parts", None),
        ("covered_ms", None),
        ("is_final", None),
        ("counts", None),
    ]


class UsageSums(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.STRING, "vm", True),
        3: (TType.STRING, "boot", True),
        4: (TType.I64, "window", True),
        5: (TType.I64, "sequence", True),
        6: (TType.I32, "part", True),
        7: (TType.I32, "parts", True),
        8: (TType.BINARY, "teams", True),
        9: (TType.BINARY, "final_runs", True),
        10: (TType.BINARY, "open_runs", True),
    }
    default_spec = [
        ("number", None),
        ("vm", None),
        ("boot", None),
        ("window", None),
        ("sequence", None),
        ("part", None),
        ("parts", None),
        ("teams", None),
        ("final_runs", None),
        ("open_runs", None),
    ]


class UsageReceipt(thrift.TPayload):
    """See ``peers.thrift``."""

    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.BINARY, "excluded", True),
    }
    default_spec = [("number", None), ("excluded", None)]
