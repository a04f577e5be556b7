namespace py radishtray_protocol._gen

/** Opens a connection; each side sends one first. */
struct Hello {
  1: required string node_id
  2: required i64 incarnation
  3: required binary nonce
  /** Increases with every connection that this sender opens to one receiver. */
  4: required i64 connection_epoch
  5: required list<string> key_ids
}

/** HMAC-SHA256 over both hellos. */
struct Proof {
  1: required string key_id
  2: required binary tag
}

struct Context {
  1: required binary request_id
  2: required i16 priority_class
  3: required i16 level
  /** Time left to answer, in milliseconds. */
  4: required i32 deadline_ms
  5: required i16 retry_budget
  6: required i16 depth
  7: optional string key
  8: optional bool key_first_send
  9: required i64 fingerprint
  10: required i16 crash_count
  /** Organisation that the first request of the chain belongs to. */
  11: optional string organisation
  /** Digest of the key that the request carried; absent on a call of a running
   *  request. */
  12: optional binary key_digest
}

struct Call {
  1: required i64 attempt_id
  2: required string service_name
  3: required string kind
  4: required string method
  5: required string path
  /** Names and values alternate. */
  6: required list<string> headers
  7: required binary body
  8: required Context context
  9: required i64 generation
  /** Whether running the request twice does no harm; absent on a call with
   *  its own context. */
  10: optional bool repeatable
  /** Whether an upstream may have run the request, or the one that it was
   *  made for, before. */
  11: optional bool is_repeat
  /** Whether to run the request although its content is refused for crashes. */
  12: optional bool is_crash_probe
}

struct ServiceUse {
  1: required string service_name
  /** Time in slots of the service, in microseconds. */
  2: required i64 slot_us
  /** Busy share of the slots of the service, in percent. */
  3: required i16 fill_percent
}

struct Answer {
  1: required i64 attempt_id
  2: required i16 status
  3: required list<string> headers
  4: required binary body
  5: required i16 retries_used
  /** Refusal reason; absent on an answer of the upstream. */
  6: optional string refusal
  /** Lowest admitted rank of the answering node: class * 128 + level. */
  7: required i16 threshold
  8: required i32 queue_ms
  9: required i32 in_flight
  10: optional bool crashed
  /** Free text or a replacement key that belongs to the refusal. */
  11: optional string detail
  /** Lowest rank whose calls further down are admitted, for calls of the same
   *  kind. */
  12: optional i16 chain_threshold
  /** Whether a call that the upstream made for the request failed. */
  13: optional bool call_failed
  /** What the request has used of services that are short of capacity,
   *  including the calls made for it. */
  14: optional list<ServiceUse> service_uses
  /** Concurrent requests that the upstream takes well, as its node has
   *  learned. */
  15: optional i32 learned_slots
}

struct Cancel {
  1: required i64 attempt_id
}

enum AttemptPhase {
  NEVER_SEEN = 0
  RUNNING = 1
  DONE = 2
  /** The attempt may have run; its record is gone. */
  FORGOTTEN = 3
}

struct AttemptQuery {
  1: required list<i64> attempt_ids
}

struct AttemptState {
  1: required i64 attempt_id
  2: required AttemptPhase phase
  3: optional Answer answer
}

struct AttemptStates {
  1: required list<AttemptState> states
}

struct Ping {
  1: required i64 sequence
}

struct Pong {
  1: required i64 sequence
}

struct ReleasePull {
  1: required i64 have_generation
}

struct ReleasePush {
  1: required i64 generation
  /** JSON of release/current. */
  2: required binary manifest
  /** Section digest to section text; only those the receiver may lack. */
  3: required map<string, binary> sections
}

struct SlotTablePull {
  1: required string service_name
}

struct SlotTablePush {
  1: required string service_name
  2: required i64 version
  /** JSON of keys/<service>. */
  3: required binary table
}

struct KeyRecord {
  1: required string key
  2: required binary digest
  3: required bool unknown
  4: optional Answer answer
}

struct KeyRecords {
  1: required string service_name
  2: required i32 slot
  3: required list<KeyRecord> records
}

struct KeyRecordsAck {
  1: required string service_name
  2: required i32 slot
}

struct CrashSuspect {
  1: required i64 fingerprint
  2: required i16 crashes
  3: required i32 ttl_ms
  // Ids of the crashes, or of those that an answer cleared.
  4: optional list<i64> crash_ids
}

struct CrashSuspects {
  1: required list<CrashSuspect> suspects
}

/** Asks which version of the configuration is known to be current. */
struct FreshnessQuery {
  1: required i64 sequence
}

struct FreshnessReply {
  1: required i64 sequence
  2: required i64 generation
  /** Milliseconds since the platform is known to have held no later version;
   *  absent if that is not known. */
  3: optional i32 age_ms
}

/** Requests of one organisation that a node asks for or is granted. */
struct AllotmentShare {
  1: required string organisation
  /** Requests asked for, or granted. */
  2: required i32 requests
  /** Of these, how many are within the organisation's regular share. */
  3: optional i32 regular
  /** Milliseconds until a further request may be granted. */
  4: optional i32 retry_ms
}

struct AllotmentRequest {
  1: required i64 sequence
  2: required list<AllotmentShare> shares
}

struct AllotmentGrant {
  1: required i64 sequence
  2: required list<AllotmentShare> shares
}

struct Frame {
  1: optional Hello hello
  2: optional Proof proof
  3: optional Call call
  4: optional Answer answer
  5: optional Cancel cancel
  6: optional AttemptQuery attempt_query
  7: optional AttemptStates attempt_states
  8: optional Ping ping
  9: optional Pong pong
  10: optional ReleasePull release_pull
  11: optional ReleasePush release_push
  12: optional SlotTablePull slot_table_pull
  13: optional SlotTablePush slot_table_push
  14: optional KeyRecords key_records
  15: optional KeyRecordsAck key_records_ack
  16: optional CrashSuspects crash_suspects
  17: optional FreshnessQuery freshness_query
  18: optional FreshnessReply freshness_reply
  19: optional AllotmentRequest allotment_request
  20: optional AllotmentGrant allotment_grant
  /** Whether the sender reads compressed frames on this connection. Sent with
   *  the proof: alone, it would end a connection to an earlier version. */
  21: optional bool accepts_compression
  /** Part of the compressed stream of frames of this connection. */
  22: optional binary compressed
}

enum MemberState {
  ALIVE = 0
  SUSPECT = 1
  DEAD = 2
  LEFT = 3
}

struct Member {
  1: required string node_id
  2: required i64 incarnation
  3: required MemberState state
  /** Raised by the member itself to refute a suspicion or to change its data. */
  4: required i64 version
  5: required string gossip_address
  6: required string node_address
  7: required string failure_domain
  8: required string service_name
  9: required i32 slots
  10: required bool serving
  11: required bool draining
  /** Whether the last call to the platform failed; unset means no. */
  12: optional bool platform_lost
  /** Percent of the requests that the upstream fails by itself; unset means 0. */
  13: optional i16 failure_percent
  /** Digest that names the process of the upstream; unset if none is known. */
  14: optional i64 upstream_digest
}

enum GossipKind {
  PING = 0
  ACK = 1
  PING_REQUEST = 2
  PUSH = 3
  HEARTBEAT = 4
}

struct Gossip {
  1: required string sender
  2: required i64 sequence
  3: required GossipKind kind
  4: optional string target
  5: required list<Member> updates
  6: required i64 generation
  7: required list<CrashSuspect> suspects
  8: optional i64 view_digest
}
