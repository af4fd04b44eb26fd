/** Datagrams between the proxies of a fleet. */

/** Requests `wanted` tokens from the limiter of a team. `domain` is the
    failure domain of the VM that requests them. */
struct TokenRequest {
  1: required i64 number
  2: required string team
  3: required i32 wanted
  4: optional string domain = ""
}

/** Answers a token or standby request. `is_owner` is false if the VM is not
    the limiter or standby of the team; `retry_ms` is the delay before the
    next request. `pledge` is 0; earlier versions read a rate in it. */
struct TokenGrant {
  1: required i64 number
  2: required bool is_owner
  3: required i32 tokens
  4: required i32 retry_ms
  5: required i32 pledge
}

/** Requests that a VM confirm the sender's leadership records: whether it
    knows of newer ones than a revision of the store. */
struct ConfirmationRequest {
  1: required i64 number
  2: required i64 revision
}

/** Answers a confirmation request with the groups that have newer records.
    `is_whole` is false if there are more groups than the answer names;
    `vm` is the VM that answers. */
struct ConfirmationAnswer {
  1: required i64 number
  2: required string vm
  3: required list<string> groups
  4: required bool is_whole
}

/** Mean number of calls, in thousandths, that VMs had outstanding at a
    target, as observed `age_ms` before the message was sent. */
struct TargetOccupancy {
  1: required string target
  2: required i32 calls
  3: required i32 age_ms
}

/** Asks a VM for the changes of the store after a revision, and how current
    its view is. `last_revision` and `offset` are 0 in the first query. Further
    ones ask for the rest of the batch that leads up to `last_revision`.
    `occupancies` are those of the VM that asks, of its own calls. */
struct ChangesQuery {
  1: required i64 number
  2: required i64 revision
  3: required i64 last_revision
  4: required i32 offset
  5: optional list<TargetOccupancy> occupancies = []
}

/** Answers a query for changes with a part of a batch of `total` bytes. It
    leads up to `revision`, and the view of the VM that answers is at most
    `age_ms` old. `total` is negative if the VM does not have the changes, and
    0 if there are none. `occupancies` are sums over the VMs of the domain but
    the one that asked, for all targets of the groups that it named. */
struct ChangesAnswer {
  1: required i64 number
  2: required i64 revision
  3: required i64 age_ms
  4: required i32 total
  5: required binary data
  6: optional list<TargetOccupancy> occupancies = []
}

/** One change of the store; a deleted key has no value. */
struct ChangedItem {
  1: required string key
  2: required i64 revision
  3: required bool is_deleted
  4: required binary value
}

/** Changes of the store in the order of their revisions. */
struct ChangeBatch {
  1: required list<ChangedItem> items
}

/** Notifies a VM that the store has changed. `vm` is the sender, which knows
    of the change. */
struct ChangeNotification {
  1: required string vm
}

/** Asks the former limiter of a team to stop, as `vm` limits it now. */
struct HandoverRequest {
  1: required i64 number
  2: required string team
  3: required string vm
}

/** The fallback rate that a limiter has granted to the standby of a domain,
    in thousandths of a token per second. */
struct DomainFallback {
  1: required string domain
  2: required i32 rate
}

/** Answers a handover request. `is_stopped` is whether the VM grants no more
    tokens of the team; `fallbacks` are the rates that standbys may go on using
    without it. */
struct HandoverAnswer {
  1: required i64 number
  2: required bool is_stopped
  3: optional list<DomainFallback> fallbacks = []
}

/** Requests `wanted` tokens from the standby of a team in the domain. */
struct StandbyRequest {
  1: required i64 number
  2: required string team
  3: required i32 wanted
}

/** Asks the limiter of a team to renew the fallback rate of a domain.
    `rate` is the one that the standby has, in thousandths of a token per
    second, `is_in_use` whether it grants tokens at that rate. */
struct FallbackRenewalRequest {
  1: required i64 number
  2: required string team
  3: required string domain
  4: required i32 rate
  5: required bool is_in_use
}

/** Answers a renewal. `is_owner` is false if the VM does not limit the team;
    `rate` is in thousandths of a token per second. */
struct FallbackGrant {
  1: required i64 number
  2: required bool is_owner
  3: required i32 rate
}

/** Tells the VM that runs a failover that `vm` no longer uses the primary of
    a group. `revision` is that of the failover's leadership record. The
    others are the bound on the commits that this run of the VM passed on;
    `boot` is empty if it knows none, or in an earlier version. */
struct FailoverAcknowledgement {
  1: required i64 number
  2: required string vm
  3: required string group
  4: required i64 revision
  5: optional string boot = ""
  6: optional i64 term = 0
  7: optional i64 position = 0
  8: optional i64 covered_revision = 0
  9: optional i64 sent_revision = 0
}

/** Confirms that an acknowledgement has been recorded. */
struct AcknowledgementReceipt {
  1: required i64 number
}

/** Asks a neighbour to renew the lease of a VM that cannot reach the store. */
struct LeaseRenewalRequest {
  1: required i64 number
  2: required string vm
  3: required i64 lease
}

/** Answers a lease renewal request. `is_lost` is true if the lease has ended;
    if neither is true, the store did not answer. */
struct LeaseRenewalAnswer {
  1: required i64 number
  2: required bool is_renewed
  3: required bool is_lost
}

/** Asks a neighbour for its newest log position of a group's primary. */
struct PositionQuery {
  1: required i64 number
  2: required string group
}

/** Answers a position query. The statement that read the position was sent
    `age_ms` before the answer; the age is negative without a position. */
struct PositionAnswer {
  1: required i64 number
  2: required i64 term
  3: required i64 position
  4: required i64 age_ms
}

/** Tells the keeper of a group's positions that `vm` has a new one. */
struct PositionNotice {
  1: required string vm
  2: required string group
}

/** Tells a VM that the primary of a group does not answer the sender. */
struct PrimarySuspicion {
  1: required string group
  2: required string target
}

/** A value or a prepared statement that is set on a connection. */
struct SessionEntry {
  1: required string name
  2: required string value
}

/** Asks a lender for a connection of a team to a target that started at
    `started_ms`, within `timeout_ms`. */
struct LoanRequest {
  1: required string target
  2: required i64 started_ms
  3: required string team
  4: required i32 timeout_ms
}

/** Answers a loan request. Without a grant, `is_target_full` is whether the
    target refused a connection at its limit, and `is_lender` is false if the
    VM does not lend such a connection at all. `values` and `prepared` are the
    session state that is set on the connection. */
struct LoanGrant {
  1: required bool is_granted
  2: required bool is_lender
  3: required bool is_target_full
  4: required string detail
  5: required list<SessionEntry> values
  6: required list<SessionEntry> prepared
}

/** Returns a connection with the session state on it. */
struct LoanReturn {
  1: required list<SessionEntry> values
  2: required list<SessionEntry> prepared
}

/** Tells a borrower that the statements it sent last were not passed on, and
    that its connection has been closed. `is_late` is whether they arrived
    too late. */
struct LoanExpired {
  1: required string reason
  2: required bool is_late
}

/** Asks a VM for its time of day. */
struct TimeQuery {
  1: required i64 number
}

/** Answers a time query, in microseconds since the start of 1970. */
struct TimeAnswer {
  1: required i64 number
  2: required i64 time_us
}

/** Part `part` of `parts` of the cumulative counts that a run of a VM has for
    a window. All parts of one set of counts have the same `sequence`; a later
    set has a greater one. The counts cover the first `covered_ms` of the
    window, and no more are expected if `is_final`. `counts` is a MessagePack
    map of team to count. */
struct UsageCounts {
  1: required i64 number
  2: required string vm
  3: required string boot
  4: required i64 window
  5: required i64 sequence
  6: required i32 part
  7: required i32 parts
  8: required i64 covered_ms
  9: required bool is_final
  10: required binary counts
}

/** Part of the sums of a window over the VMs that send to a collector, the run
    `boot` of `vm`. `teams` is a MessagePack map of team to the sum over the
    runs whose counts are final, and `final_runs` a list of those, each as VM
    and boot. `open_runs` is a list of the others, each as VM, boot, sequence
    and a map of team to its count and to the bound on what is missing in it,
    in thousandths. */
struct UsageSums {
  1: required i64 number
  2: required string vm
  3: required string boot
  4: required i64 window
  5: required i64 sequence
  6: required i32 part
  7: required i32 parts
  8: required binary teams
  9: required binary final_runs
  10: required binary open_runs
}

/** Confirms that a part of counts or sums has been received. `excluded` is a
    MessagePack list of runs that the sums must not include, since those of
    another collector do. */
struct UsageReceipt {
  1: required i64 number
  2: required binary excluded
}
