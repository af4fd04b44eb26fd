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

/** Asks a VM how current its view of the store is. */
struct ViewStatusQuery {
  1: required i64 number
}

/** Answers a view status query. The view of the VM that answers is at most
    `age_ms` old; `changed` is the revision of the last change in it. */
struct ViewStatusAnswer {
  1: required i64 number
  2: required i64 changed
  3: required i64 age_ms
}

/** Notifies a VM that the store has changed and should be read. `vm` is
    the sender; it is not read. */
struct ChangeNotification {
  1: required string vm
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
