// Messages between the daemons of a deployment.
// All times are durations in seconds; clock readings are never sent.

// A new value of an entry process's share of a client account's rate; see
// core.shares.
struct ShareGrant {
  1: string account,
  2: i64 base,
  3: i64 version,
  4: double rate,
  5: double capacity,
  6: double tokens,
  7: bool prompt,
  8: double retry_s,        // seconds to wait before asking again
}

// An entry process's report on one client account.
struct AccountReport {
  1: string account,
  2: i64 version,
  3: double rate,
  4: double capacity,
  5: double tokens,
  6: double returned,       // tokens returned with the last reduction
  7: double demand_rate,    // recent demand in statements/s
  8: double wanted_tokens,  // tokens that waiting requests need
}

// An entry process's report on one target.
struct Observation {
  1: string group,
  2: string server,
  3: string zone,
  4: string address,
  5: string role,
  6: i64 term,
  7: i64 position,
  8: i32 slots,
  9: i32 connections,
  10: bool leaving,
  11: double announcement_age_s,
  12: double success_age_s,
  13: double demand,        // mean number of statements in flight or queued
  14: i64 limit_version,    // version of the last ConnectionGrant applied
  15: i32 limit,            // connections of that ConnectionGrant
  16: bool serves,          // the entry process is in the serving set
  17: double refused_s,     // for how long connections have been refused
  18: optional double rate, // rate of that ConnectionGrant
}

struct MemberAddress {
  1: string server,
  2: string address,
}

struct TermStart {
  1: i64 term,
  2: i64 index,
}

struct GroupRecord {
  1: string group,
  2: i64 term,
  3: string primary,        // empty if no primary may serve
  4: list<MemberAddress> members,
  5: list<TermStart> starts,
  6: bool changing,
}

struct ConnectionGrant {
  1: string group,
  2: string server,
  3: i64 version,
  4: i32 connections,
  5: i32 in_flight,
  6: i64 base,              // version that the entry process reported
  7: optional double rate,  // statements/s, 0: not limited, below 0: none
}

struct EntryAddress {
  1: string entry,
  2: string zone,
  3: string address,        // thrift address for relayed statements
  4: bool draining,         // receives only calls for its open transactions
}

// A target as announced to control.
struct TargetRecord {
  1: string server,
  2: string group,
  3: string zone,
  4: string address,
  5: string role,
  6: i32 slots,
  7: bool leaving,
}

// The last commit in a group that an entry process acknowledged to a client,
// by the end of the primary's log in the answer to it, and how many of the
// commits of a term it acknowledged. Earlier builds send the least position that
// the commit can have.
struct AcknowledgedCommit {
  1: string group,
  2: i64 term,
  3: i64 index,
  4: optional i64 count_term,
  5: optional i64 count,
}

struct RenewRequest {
  1: string entry,
  2: i64 incarnation,
  3: string zone,
  4: string address,
  5: i64 revision,
  6: i64 view_revision,
  7: bool draining,
  8: list<AccountReport> accounts,
  9: list<Observation> observations,
  10: i64 sequence,
  11: i64 entries_revision, // revision of the list of entry processes it holds
  12: i64 targets_revision, // revision of the list of targets it holds
  13: double unused_s,      // age of a process that has held no shares, else 0
  14: optional list<AcknowledgedCommit> acknowledged,
  15: optional i64 leader_clock, // of the last reply that this process got
  16: optional i64 received_sequence, // of the last reply of a leader, or 0
}

struct RenewReply {
  1: bool granted,
  2: string reason,
  3: i64 leader_term,
  4: i64 revision,
  5: list<binary> deltas,       // encoded configuration changes, in order
  6: binary full,               // encoded configuration if deltas are missing
  7: i64 view_revision,
  8: list<GroupRecord> groups,  // changed since the reported view_revision
  9: list<ShareGrant> shares,
  10: list<ConnectionGrant> connections,
  11: list<EntryAddress> entries, // absent if the request has this revision
  12: i64 entries_revision,
  13: i64 sequence,
  14: list<TargetRecord> targets, // absent if the request has this revision
  15: i64 targets_revision,
  16: bool targets_complete,    // whether the list holds every live target
  17: list<string> members,     // thrift addresses of control, leader first
  18: string member_zone,       // zone of the member that answered
  19: optional i64 leader_clock, // incarnations that the leader has heard
}

struct RenewBatch {
  1: string member,
  2: list<RenewRequest> requests,
}

struct RenewBatchReply {
  1: list<RenewReply> replies,
}

// A message of the replicated log, encoded by the log's own codec.
struct LogMessage {
  1: string sender,
  2: string recipient,
  3: binary body,
  4: optional binary acknowledged, // commits, see core's acknowledged
}

struct CommandReply {
  1: bool ok,
  2: string leader,         // thrift address of the leader if not ok
  3: binary body,           // JSON response
  4: i32 status,
}

struct StatementCall {
  1: string kind,           // session, or a kind of front.DataRequest
  2: binary body,           // JSON request
  3: double deadline_s,     // time left until the deadline
  4: i32 hops,
}

struct StatementReply {
  1: i32 status,
  2: binary body,           // JSON response
  3: string session_token,
  4: double retry_after_s,
}

// Takes one token of a client account for another entry process.
struct ChargeCall {
  1: string account,
  2: double wait_s,         // maximum time that the operation can wait
  3: optional i32 priority, // of the route; absent: 0, the highest
}

struct ChargeReply {
  1: string outcome,        // taken, limited, unable
  2: double retry_after_s,
}

service Control {
  RenewReply renew(1: RenewRequest req),
  RenewBatchReply renew_batch(1: RenewBatch batch),
  // Not oneway: a missing reply reveals a broken connection.
  bool log_message(1: LogMessage message),
  CommandReply command(1: string kind, 2: binary body, 3: double deadline_s),
}

service Entry {
  StatementReply relay(1: StatementCall call),
  ChargeReply charge(1: ChargeCall call),
}

// The service of every daemon: all calls, regardless of its roles.
service Daemon {
  RenewReply renew(1: RenewRequest req),
  RenewBatchReply renew_batch(1: RenewBatch batch),
  // Not oneway: a missing reply reveals a broken connection.
  bool log_message(1: LogMessage message),
  CommandReply command(1: string kind, 2: binary body, 3: double deadline_s),
  StatementReply relay(1: StatementCall call),
  ChargeReply charge(1: ChargeCall call),
}
