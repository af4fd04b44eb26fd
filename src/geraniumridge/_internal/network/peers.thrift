/** Datagrams between the proxies of a fleet. */

/** Asks the limiter of a team for operations. */
struct TokenRequest {
  1: required i64 number
  2: required string team
  3: required i32 wanted
}

/** Answers a draw. `is_owner` is false where the VM does not limit the
    team; `retry_ms` tells when to ask again. `pledge` is the rate, in
    thousandths of a token per second, that the asker may use for a
    while if the limiter falls silent. */
struct TokenGrant {
  1: required i64 number
  2: required bool is_owner
  3: required i32 tokens
  4: required i32 retry_ms
  5: required i32 pledge
}

/** Asks a VM whether it knows of leads newer than a revision of the
    store. */
struct LeadershipQuery {
  1: required i64 number
  2: required i64 revision
}

/** Answers a doubt with the groups that have newer leads. `is_whole`
    is false where there are too many to name. */
struct LeadershipAnswer {
  1: required i64 number
  2: required string vm
  3: required list<string> groups
  4: required bool is_whole
}

/** Asks a VM how far it has read the store. */
struct ViewStatusQuery {
  1: required i64 number
}

/** Answers. Nothing changed between the revision `changed` and the state
    of `age_ms` ago. */
struct ViewStatusAnswer {
  1: required i64 number
  2: required i64 changed
  3: required i64 age_ms
}

/** Advises to read the store, since the sender knows of news there. */
struct ChangeNotification {
  1: required string vm
}
