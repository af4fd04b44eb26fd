// Messages between daemons with the HTTP interface. The order of the
// structs is their type number on the wire.
//
// A cell is the VMs of one failure domain that follow one elected leader. A
// group is a primary and its replicas. The terms are the record of each
// group's primary. A promise is a domain's undertaking that it takes part
// in no promotion, used while the platform cannot be reached.

struct Empty {}

// Answer to a call that failed; the codes are defined in exceptions.py.
struct Failure {
  1: string code,
  2: string detail,
  3: string executed,
  4: double retry_after_s,
}

// First message on a connection; it authenticates the sender.
struct Hello {
  1: string vm,
  2: string domain,
  3: string secret,
}

// One step of a caller's request, sent to the gateway of a target, the VM
// that owns the connections to it. Fields 1 to 9 identify the request, the
// later ones are its content. `body` of the answer is JSON.
struct Statement {
  1: string request_id,
  2: string target,
  3: string group,
  4: string team,
  5: string action,
  6: string transaction,
  7: string key_hash,
  10: bool is_write,
  11: string sql,
  12: string params,
  13: i64 min_term,
  14: i64 min_position,
  15: i64 max_age_ms,
  16: i64 deadline_ms,
  17: string idempotency_key,
  18: double weight,
  19: bool is_primary,
}

struct StatementAnswer {
  1: binary body,
  2: i64 term,
  3: i64 position,
  4: i64 queue_us,
  5: string transaction,
}

// Ask for the configuration changes that follow a version.
struct ConfigQuery {
  1: i64 after_version,
}

// The changes after the given version, or a snapshot if the sender no
// longer holds all of them. Both are JSON.
struct ConfigAnswer {
  1: list<string> changes,
  2: string snapshot,
  3: i64 version,
}

// A running daemon; each start has a new incarnation.
struct Member {
  1: string name,
  2: string incarnation,
  3: string address,
}

// The members of a cell as of one view number of its leader.
struct View {
  1: i64 number,
  2: string leader,
  3: list<Member> members,
}

// VMs between which the rate limits of their domain are split evenly.
struct Base {
  1: i64 number,
  2: list<string> names,
}

// Renews a member's lease, or asks to join a cell. Fields from 20 on
// belong to other plug-ins, not to the membership protocol.
struct Heartbeat {
  1: Member sender,
  2: i64 number,
  3: string leader,
  4: double echo,
  5: bool leaving,
  6: i64 base_number,
  7: bool inquiry,
  20: i64 config_version,
  21: i64 terms_revision,
  22: i64 directory_version,
}

// Grants a lease, or names the address of the leader. `share` is the
// fraction of the domain's rate limits that the cell may use. `speaks` says
// that the leader leads its domain's majority: most of the domain's VMs
// follow it. `terms` is JSON and absent if the member has the leader's
// revision. `evidence_age_s` is the time since the leader last read the
// terms record; `promise_age_s` and `closed` are the age of the domains'
// promises and the groups that they exclude.
struct HeartbeatAnswer {
  1: bool granted,
  2: i64 number,
  3: string leader_address,
  4: bool resigned,
  5: View view,
  6: bool active,
  7: double lease_s,
  8: double share,
  9: bool speaks,
  10: double stamp,
  11: list<Base> bases,
  12: bool counted,
  20: i64 config_version,
  21: i64 terms_revision,
  22: i64 directory_version,
  23: double contact_age_s,
  24: double evidence_age_s,
  25: string terms,
  26: double promise_age_s,
  27: list<string> closed,
}

// Claim to lead the cell from a view number on.
struct Claim {
  1: Member sender,
  2: i64 number,
}

struct ClaimAnswer {
  1: bool accepted,
  2: i64 number,
  3: string leader_address,
  4: i64 epoch_number,
  5: string epoch_leader,
  6: bool leaving,
  7: list<Base> bases,
  8: bool counted,
  20: Member sender,
}

// State of a cell that its leader reports to other domains. Every member
// holds at least `confirmed_version` of the configuration.
struct CellReport {
  1: string domain,
  2: i64 version,
  3: View view,
  4: i64 config_version,
  5: i64 confirmed_version,
}

// Report version: the version of a domain's report that the sender holds.
struct CellMark {
  1: string domain,
  2: i64 version,
}

// Exchange of reports. A request lists the report versions that the sender
// holds in `marks`, and its own domain's report in `reports`; the answer has
// the reports that are newer.
struct Exchange {
  1: string domain,
  2: list<CellMark> marks,
  3: list<CellReport> reports,
}

// Token request for a team's rate limit: one token for each waiting request
// and up to `prepaid` more. `closed` are batches of the limiter named by
// `limiter` that will not be spent any more.
struct Draw {
  1: string team,
  2: i64 waiting,
  3: i64 prepaid,
  4: list<i64> closed,
  5: string limiter,
}

// Token grant, the answer to a Draw. A negative `retry_after_s` means that no token will
// become available.
struct Grant {
  1: i64 granted,
  2: i64 batch,
  3: double valid_s,
  4: double retry_after_s,
  5: string limiter,
}

// Ask a gateway which of its targets do not respond.
struct Probe {
  1: list<string> targets,
}

struct ProbeAnswer {
  1: list<string> down,
}

// Ask a domain for its promise as of a revision of the terms. `closed` of
// the answer are the groups that it excludes.
struct Promise {
  1: string domain,
  2: i64 revision,
}

struct PromiseAnswer {
  1: bool promised,
  2: list<string> closed,
  3: i64 revision,
  4: string terms,
}

// Ask a domain to exclude a group from its promises. `remaining_s` of the
// answer is the time until its earlier promises expire.
struct Close {
  1: string group,
  2: i64 term,
}

struct CloseAnswer {
  1: bool closed,
  2: double remaining_s,
}

// Ask a domain whether it also finds that a group's primary has failed.
struct Suspicion {
  1: string group,
  2: i64 term,
}

struct SuspicionAnswer {
  1: bool agreed,
}

// Send a control request to a target through its gateway; `action` is the
// request's path.
struct Promote {
  1: string group,
  2: string target,
  3: i64 term,
  4: string action,
}

// Wait until a target has reached a position in the log of its group.
struct Await {
  1: string group,
  2: string target,
  3: i64 term,
  4: i64 position,
  5: i64 wait_ms,
}

// Status of a target, in answer to Promote and Await.
struct PromoteAnswer {
  1: i64 term,
  2: i64 position,
  3: bool is_primary,
}
