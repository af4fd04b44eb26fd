// Messages between daemons. Field 1 to 9 of a message are its identity.

struct Empty {}

// A failed call: the code names the error, see exceptions.py.
struct Failure {
  1: string code,
  2: string detail,
  3: string executed,
  4: double retry_after_s,
}

struct Hello {
  1: string vm,
  2: string domain,
  3: string secret,
}

// One step of a caller's request, for the gateway of a target.
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

struct ConfigQuery {
  1: i64 after_version,
}

// Either the changes after the asked version or a whole snapshot.
struct ConfigAnswer {
  1: list<string> changes,
  2: string snapshot,
  3: i64 version,
}

struct Member {
  1: string name,
  2: string incarnation,
  3: string address,
}

struct View {
  1: i64 number,
  2: string leader,
  3: list<Member> members,
}

struct Base {
  1: i64 number,
  2: list<string> names,
}

// Fields from 20 on ride along and are no part of the cell's protocol.
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

// What a cell tells of itself to the other cells.
struct CellReport {
  1: string domain,
  2: i64 version,
  3: View view,
  4: i64 config_version,
  5: i64 confirmed_version,
}

struct CellMark {
  1: string domain,
  2: i64 version,
}

// Reports that the other side lacks, against marks of what it has.
struct Exchange {
  1: string domain,
  2: list<CellMark> marks,
  3: list<CellReport> reports,
}

// Tokens of a team; closed are batches that will not be spent further.
struct Draw {
  1: string team,
  2: i64 waiting,
  3: i64 prepaid,
  4: list<i64> closed,
  5: string limiter,
}

// A negative retry_after_s means that no token will come.
struct Grant {
  1: i64 granted,
  2: i64 batch,
  3: double valid_s,
  4: double retry_after_s,
  5: string limiter,
}

struct Probe {
  1: list<string> targets,
}

struct ProbeAnswer {
  1: list<string> down,
}

// Ask a domain for its promise that it takes part in no promotion.
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

struct Close {
  1: string group,
  2: i64 term,
}

struct CloseAnswer {
  1: bool closed,
  2: double remaining_s,
}

struct Suspicion {
  1: string group,
  2: i64 term,
}

struct SuspicionAnswer {
  1: bool agreed,
}

struct Promote {
  1: string group,
  2: string target,
  3: i64 term,
  4: string action,
}

// Wait until a target has reached a place in its group's log.
struct Await {
  1: string group,
  2: string target,
  3: i64 term,
  4: i64 position,
  5: i64 wait_ms,
}

struct PromoteAnswer {
  1: i64 term,
  2: i64 position,
  3: bool is_primary,
}
