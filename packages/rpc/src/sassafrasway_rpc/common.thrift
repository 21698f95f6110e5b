// Types that several services share. Field numbers are never reused.

// An HTTP header field.
struct Header {
  1: string name
  2: string value
}

// One entry instance. Each start of the process gets a new incarnation.
struct Instance {
  1: string name
  2: string incarnation
  3: string rpc_address      // host:port of the RPC server
  4: string caller_url       // base URL that callers use
  5: string region
  6: string failure_domain
  7: string state            // live, leaving or, in directories only, silent
}

// An error that the called side reports. An unexpected failure of a handler arrives as
// TApplicationException instead.
exception RpcError {
  1: string code             // validation, conflict, not_found, unavailable, internal
  2: string message
  3: string step             // operation that failed, such as config.apply
  4: string peer             // other side of that operation; empty when there is none
}
