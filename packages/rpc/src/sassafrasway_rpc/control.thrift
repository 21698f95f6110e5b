// Region control: heartbeats of members, grants of the coordinator, directories of all regions.
// Times are seconds; a stamp is meaningful only to the instance that made it.

include "common.thrift"

struct PoolId {
  1: string service_name
  2: string region
  3: i32 shard
}

// What an instance tells about one pool.
struct PoolReport {
  1: PoolId pool
  2: string share            // share in force: none, offline, reduced, full
  3: map<string, i32> in_use // slots in use by server
  4: double rate_per_s
  5: i32 queue_length
  6: double busy_s           // time until the deadlines of the requests on these slots have passed
}

struct PoolGrant {
  1: PoolId pool
  2: string share
  3: map<string, i32> inherited // slots that the previous owner last reported as in use
  4: string previous_name
  5: string previous_incarnation
  6: double inherited_s      // time until the deadlines of the requests on these slots have passed
}

// What a holder would use of a cap and which share of it is in force.
struct CapReport {
  1: string name             // name of the cap
  2: double demand           // in the unit of the cap
  3: i64 sequence            // sequence of the share in force
  4: double amount           // amount of the last share, expired or not
  5: double remaining_s      // time until it expires, negative when it has expired
  6: double offline          // limit after it has expired
}

struct CapShare {
  1: string name
  2: i64 sequence
  3: double amount           // limit in the unit of the cap
  4: double offline          // limit after the share has expired
  5: double valid_s          // time after the heartbeat was sent at which the share expires
}

struct PoolOwner {
  1: PoolId pool
  2: string name
  3: string incarnation
}

// The instances of one region and the pools that they own.
struct RegionDirectory {
  1: string region
  2: i64 epoch
  3: i64 version             // grows within an epoch
  4: common.Instance coordinator
  5: list<common.Instance> instances
  6: list<PoolOwner> owners
  7: list<common.Instance> gone // name and incarnation only
}

// Which state of a region's directory the sender has.
struct DirectoryVersion {
  1: string region
  2: i64 epoch
  3: i64 version
}

struct HeartbeatRequest {
  1: common.Instance sender
  2: i64 epoch               // highest epoch that the sender follows
  3: bool promise            // the sender will not become a candidate for 3 s
  4: double echo_s           // stamp of the latest reply of this epoch; not set before the first
  5: i64 applied_seq         // number of the latest reply of this epoch that was applied
  6: list<PoolReport> pools
  7: list<CapReport> caps
  8: i64 directory_mark      // mark of the latest reply of this epoch
  9: i64 revision            // policy revision in force
}

struct HeartbeatReply {
  1: i64 epoch
  2: common.Instance coordinator
  3: bool accepted           // false: follow the epoch first; grants are not affected
  4: i64 seq
  5: double stamp_s
  6: list<PoolGrant> grants  // all pools that the sender may use
  7: double settled_s        // time in which only recorded members hold grants
  8: list<CapShare> cap_shares
  9: list<RegionDirectory> directories // those that changed since directory_mark
  10: i64 directory_mark
  11: i64 revision           // policy revision of the coordinator
  12: bool gone              // the sender was taken for gone and must give up all that it holds
}

struct FollowReply {
  1: common.Instance sender
  2: i64 epoch
  3: list<PoolReport> pools
}

struct Identity {
  1: common.Instance instance
  2: i64 epoch               // epoch that the instance follows, 0 when none
  3: common.Instance coordinator
}

service Control {
  // Renews the sender's promise and grants.
  HeartbeatReply heartbeat(1: HeartbeatRequest request) throws (1: common.RpcError error)

  // Announces the coordinator of an epoch; also asks a follower for a heartbeat at once.
  FollowReply follow(1: i64 epoch, 2: common.Instance coordinator)
      throws (1: common.RpcError error)

  // Tells a pool's new owner which slots the sender's requests still use.
  void handover(1: common.Instance sender, 2: PoolReport report)
      throws (1: common.RpcError error)

  // Tells a pool's new owner that requests of the previous owner have ended.
  oneway void release_slots(1: PoolId pool, 2: string server, 3: i32 slots)

  // Exchanges directories. The sender gives those that changed; the reply has those that are newer
  // than the given versions, or all when the list of versions is empty.
  list<RegionDirectory> directory(1: list<RegionDirectory> directories,
      2: list<DirectoryVersion> known) throws (1: common.RpcError error)

  // Tells a coordinator that an instance of its region refused a connection; it asks for itself.
  oneway void suspect(1: common.Instance instance)

  // Tells which incarnation answers at this address.
  Identity identify() throws (1: common.RpcError error)
}
