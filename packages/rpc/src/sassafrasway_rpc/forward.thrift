// Requests of callers on their way between entry instances.

include "common.thrift"

// Whether the request ran.
enum Outcome {
  RAN = 1                    // a backend server ran the request
  NOT_RUN = 2                // no backend server ran the request
  UNKNOWN = 3                // a backend server may have run the request
}

// What the receiver is to do with the request.
enum Stage {
  GATEKEEP = 1               // run it at most once, as the holder of its idempotency key
  EXECUTE = 2                // run it on a server of the pool, as the owner of the pool
  ROUTE = 3                  // not in use; receivers reject it as invalid
}

struct ForwardRequest {
  1: string request_id
  2: Stage stage
  3: string service_name
  4: string region           // region of the pool, for EXECUTE
  5: i32 shard               // shard of the pool, for EXECUTE
  6: string method
  7: string path             // path and query after the service name
  8: list<common.Header> headers
  9: binary body
  10: i32 deadline_ms        // time left until the deadline of the request
  11: string key             // idempotency key, empty when there is none
  12: string home_region
  13: string shift           // name of the shift that moved the request, or empty
  14: bool may_queue         // whether the request may wait for a slot, for EXECUTE
  15: string sender          // name/incarnation of the sending instance
  16: string fingerprint     // hash of service, method, path and body, by which requests that crash
                             // backend servers are recognised when a caller sends them again
  17: string client          // address of the client on whose behalf the caller sent the request
  18: string attempt_id      // one for each forward; a repeated attempt is not run again, unless it
                             // arrives more than 60 s after the first one and that one has ended
  19: string receiver        // name/incarnation that the attempt is meant for
  20: bool resent            // this attempt was sent before, and its reply did not arrive
}

struct ForwardReply {
  1: Outcome outcome
  2: i32 status              // HTTP status for the caller
  3: list<common.Header> headers
  4: binary body
  5: string reason           // machine-readable cause when outcome is not RAN
  6: string owner            // with reason not_owner: name of the pool's owner; empty if not known
  7: string server           // backend server that responded; empty when none did
  8: i32 retry_after_ms      // suggested delay before a retry; 0 for no suggestion
  9: string detail           // human-readable reason
}

service Forward {
  // Processes a request as its stage says and returns the outcome.
  ForwardReply forward(1: ForwardRequest request) throws (1: common.RpcError error)

  // Reports to the owner of another pool of the service that a request crashed a backend server.
  void report_crash(1: string service_name, 2: string fingerprint, 3: string server)
      throws (1: common.RpcError error)

  // Cancels a forwarded request whose caller has disconnected. A request that runs in stage
  // GATEKEEP continues; only the wait for its outcome ends.
  oneway void cancel(1: string request_id)
}
