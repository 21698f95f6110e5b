// Region control: heartbeats of members, grants of the coordinator, directories of all regions.
//
// The instances of a region are its members. One of them, the coordinator, grants members the right
// to use the slots of pools, which are groups of backend servers of one service and region, and
// shares of caps, which limit the rates of requests and the bandwidths of links. A new coordinator
// starts a new epoch, which is higher than all earlier ones of the region, by writing the region
// row, a row of the table service.
//
// Times are in seconds. A timestamp is comparable only with others of the instance that made it.

include "common.thrift"

struct PoolId {
  1: string service_name
  2: string region
  3: i32 shard               // index among the pools of the service in the region, from 0
}

// An instance's report on one pool that it may use, or whose slots its requests still use.
struct PoolReport {
  1: PoolId pool
  2: string share            // share of each server's slots in force when the report was made:
                             // none, offline (a third, rounded down), reduced (all except that
                             // third), full
  3: map<string, i32> in_use // number of slots in use by server name
  4: double rate_per_s       // requests received for the pool, 1/s; entry instances send 0
  5: i32 queue_length
  6: double busy_s           // time until the deadlines of the requests in these slots have passed
}

// The right to use a share of a pool.
struct PoolGrant {
  1: PoolId pool
  2: string share            // share of each server's slots that may be used; values as in
                             // PoolReport
  3: map<string, i32> inherited // slots by server name that other instances last reported in use
  4: string previous_name    // of the instances that use these slots, the last to begin to report
                             // them; empty when there is none
  5: string previous_incarnation
  6: double inherited_s      // time until the deadlines of the requests in these slots have passed
}

// An instance's demand for a cap, and the share of the cap that it holds.
struct CapReport {
  1: string name             // name of the cap
  2: double demand           // amount that the instance would use, in the unit of the cap
  3: i64 sequence            // sequence of the latest share; 0 before the first
  4: double amount           // amount of the latest share, also when it has expired
  5: double remaining_s      // time until the share expires; negative when it has expired
  6: double offline          // limit after the share has expired
}

// A part of a cap that one instance may use for a limited time.
struct CapShare {
  1: string name
  2: i64 sequence            // a share replaces those with a lower sequence
  3: double amount           // limit in the unit of the cap
  4: double offline          // limit after the share has expired, until a new one arrives
  5: double valid_s          // time after the heartbeat was sent at which the share expires
}

// The instance that owns a pool.
struct PoolOwner {
  1: PoolId pool
  2: string name
  3: string incarnation
}

// The instances of one region and the pools that they own.
struct RegionDirectory {
  1: string region
  2: i64 epoch               // epoch of the coordinator that made the directory
  3: i64 version             // increases within an epoch
  4: common.Instance coordinator
  5: list<common.Instance> instances
  6: list<PoolOwner> owners
  7: list<common.Instance> gone // recent instances that are known to have ended; only name and
                             // incarnation are set
}

// Version of a region's directory that the sender has.
struct DirectoryVersion {
  1: string region
  2: i64 epoch
  3: i64 version
}

struct HeartbeatRequest {
  1: common.Instance sender
  2: i64 epoch               // highest epoch that the sender follows
  3: bool promise            // the sender promises not to become coordinator for 3 s, unless the
                             // current one is known to be gone or there is no region row
  4: double echo_s           // stamp_s of the latest reply of this epoch, from which the
                             // coordinator counts the 3 s; not set before the first reply
  5: i64 applied_seq         // seq of the latest reply of this epoch that the sender applied
  6: list<PoolReport> pools
  7: list<CapReport> caps
  8: i64 directory_mark      // directory_mark of the latest reply of this epoch
  9: i64 revision            // policy revision in force
}

struct HeartbeatReply {
  1: i64 epoch
  2: common.Instance coordinator
  3: bool accepted           // false: follow the epoch first; the grants then stay as they are,
                             // unless gone is set
  4: i64 seq                 // number of the reply within the epoch; 0 unless accepted is true
  5: double stamp_s          // coordinator's clock when it replied
  6: list<PoolGrant> grants  // all pools that the sender may use; it must drop every other pool
  7: double settled_s        // time after the heartbeat was sent in which only members that are
                             // recorded in the table hold grants
  8: list<CapShare> cap_shares
  9: list<RegionDirectory> directories // those that changed since the request's directory_mark
  10: i64 directory_mark     // the sender returns it in its next heartbeat
  11: i64 revision           // policy revision in force at the replying instance
  12: bool gone              // the sender was declared gone and must release all that it holds
}

// A member's reply to a new coordinator; epoch is the one that the member follows.
struct FollowReply {
  1: common.Instance sender
  2: i64 epoch
  3: list<PoolReport> pools
}

// The instance that answers at an address.
struct Identity {
  1: common.Instance instance
  2: i64 epoch               // epoch that the instance follows; 0 when it follows none
  3: common.Instance coordinator
}

service Control {
  // Renews the sender's promise and grants.
  HeartbeatReply heartbeat(1: HeartbeatRequest request) throws (1: common.RpcError error)

  // Announces the coordinator of an epoch. A member whose epoch is not higher follows this
  // coordinator and sends it a heartbeat immediately.
  FollowReply follow(1: i64 epoch, 2: common.Instance coordinator)
      throws (1: common.RpcError error)

  // Reports to a pool's new owner which slots are still used by requests of the sender.
  void handover(1: common.Instance sender, 2: PoolReport report)
      throws (1: common.RpcError error)

  // Reports to a pool's new owner that requests of the previous owner have ended.
  oneway void release_slots(1: PoolId pool, 2: string server, 3: i32 slots)

  // Exchanges directories. The sender passes those that changed; the reply holds those that are
  // newer than the versions in known, or all when known is empty.
  list<RegionDirectory> directory(1: list<RegionDirectory> directories,
      2: list<DirectoryVersion> known) throws (1: common.RpcError error)

  // Reports to a coordinator that an instance of its region refused a connection; the coordinator
  // then checks it.
  oneway void suspect(1: common.Instance instance)

  // Returns which incarnation answers at this address.
  Identity identify() throws (1: common.RpcError error)
}
