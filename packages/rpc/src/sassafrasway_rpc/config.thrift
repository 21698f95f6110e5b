// Steering policy: RPCs for operators, and replication of changes between entry instances.
//
// Any Thrift client with the framed transport and the strict binary protocol can call these
// services at the RPC port of any entry instance; all instances give the same answers.
//
// Errors are reported as RpcError with one of these codes:
//   validation   the input is invalid; the message has one line for each problem
//   conflict     the change is based on a revision that is no longer current
//   not_found    a named object, revision or instance does not exist
//   unavailable  the instance has no policy yet, or the table service does not answer; a change may
//                or may not have been accepted, and a retry with the same change_id is safe
//   internal     any other failure of the instance
//
// Policy documents and changes are JSON, so that they can be kept in files and reviewed:
//   policy  {section: {name: object}}, with the sections regions, links, services, servers, blocks
//           and shifts
//   change  {"base_revision": n, "change_id": s, "author": s,
//            "sections": {section: {name: object or null}}}; an object replaces the one of the same
//           name completely, and null deletes it

include "common.thrift"

// The policy at one revision.
struct PolicyReply {
  1: i64 revision            // 0 before the first change, when all sections are empty
  2: string document_json    // policy document, sorted by name
}

// Result of a change that is in force.
struct ChangeReply {
  1: i64 revision            // revision that the change produced
  2: bool already_applied    // the change_id was recorded earlier; this call changed nothing
}

// Identity and author of a change, and the revision on which it is based.
struct ChangeMeta {
  1: string change_id        // 1 to 128 visible ASCII characters, unique for each change; a retry
                             // with the same id does not apply the change again; the ids of the
                             // last 256 changes are remembered
  2: string author           // 1 to 128 characters
  3: optional i64 base_revision // when set, the call fails with conflict unless this revision is
                             // current; when not set, the change is made to the current revision
}

// One accepted change.
struct HistoryEntry {
  1: i64 revision            // revision that the change produced
  2: string change_id
  3: string author
  4: double accepted_at_s    // seconds since the Unix epoch, by the clock of the accepting instance
  5: string accepted_by      // name/incarnation of the accepting instance
  6: string sections_json    // {section: {name: object or null}} as in a change
}

// A shift of traffic between regions, as in section shifts of the policy document.
struct ShiftSpec {
  1: string service_name     // name in section services
  2: string source           // home region whose requests move
  3: string target           // region that receives them
  4: double cap_rps          // highest rate of moved requests in any one-second window, requests/s
  5: double fraction = 1.0   // share of the source's requests that moves in the end, 0 to 1
  6: double pace_per_s = 0.1 // increase of the moved share per second, above 0
}

enum DrainKind {
  SERVER = 1                 // a backend server: a change of its state in the policy
  INSTANCE = 2               // an entry instance: a graceful stop, no change of the policy
}

service Operator {
  // Returns a revision of the policy, the current one when revision is not set or 0.
  PolicyReply get_policy(1: optional i64 revision) throws (1: common.RpcError error)

  // Applies a change. Fails with conflict unless its base_revision is the current revision.
  ChangeReply apply_change(1: string change_json) throws (1: common.RpcError error)

  // Returns accepted changes, newest first: at most limit (1 to 1000, 20 when not set) with a
  // revision below before (from the newest one when not set or 0).
  list<HistoryEntry> history(1: optional i32 limit, 2: optional i64 before)
      throws (1: common.RpcError error)

  // Creates a new revision with the content of an older one.
  ChangeReply rollback(1: i64 revision, 2: ChangeMeta meta) throws (1: common.RpcError error)

  // Creates or replaces the shift of this name.
  ChangeReply start_shift(1: string name, 2: ShiftSpec shift, 3: ChangeMeta meta)
      throws (1: common.RpcError error)

  // Deletes the shift of this name; its requests return to their home region.
  ChangeReply stop_shift(1: string name, 2: ChangeMeta meta) throws (1: common.RpcError error)

  // Drains a backend server or an entry instance: it gets no new requests, and those in flight
  // finish. With cancel set, a leaving backend server becomes active again; the drain of an entry
  // instance cannot be cancelled. For an instance, the reply holds the current revision, and only
  // the author in meta is used.
  ChangeReply drain(1: DrainKind kind, 2: string name, 3: ChangeMeta meta, 4: bool cancel)
      throws (1: common.RpcError error)

  // Returns a summary of the state of this instance as a JSON object.
  string status() throws (1: common.RpcError error)

  // Returns the full state of this instance, for diagnosis, as a JSON object.
  string dump() throws (1: common.RpcError error)
}

// Changes that a peer is missing.
struct ChangesReply {
  1: i64 revision            // revision after changes_json, or that of policy_json
  2: list<string> changes_json // in order; empty when the peer is up to date
  3: string policy_json      // full policy when the log lacks older changes; else empty
  4: map<string, i64> change_ids // with policy_json: revision by id of recent changes
}

service Config {
  // Sends an accepted change to a peer. Returns the peer's revision after the call, which is lower
  // than that of the change when the peer lacks earlier ones; it then requests these from the
  // sender.
  i64 push_change(1: string change_json, 2: string sender_address)
      throws (1: common.RpcError error)

  // Returns the changes after a revision, or the full policy. Fails with unavailable when the peer
  // has no policy yet.
  ChangesReply changes_since(1: i64 revision) throws (1: common.RpcError error)

  // Drains the called instance, on behalf of an operator who called another instance.
  void drain_instance(1: string instance_name, 2: string author) throws (1: common.RpcError error)
}
