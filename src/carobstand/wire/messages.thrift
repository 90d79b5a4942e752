// Messages between carobstand processes. Times are milliseconds unless named otherwise.
namespace py carobstand.wire.gen

enum Role { ENTRY = 1, AGENT = 2 }

enum ReplicaPhase { FETCHING = 1, VERIFIED = 2, LOADING = 3, SERVING = 4, REFUSED = 5 }

enum Outcome { DONE = 1, NOT_RUN = 2, UNKNOWN = 3 }

enum AttemptPhase { NOT_SEEN = 1, RUNNING = 2, FINISHED = 3, REFUSED = 4 }

enum ChunkStatus { OK = 1, ABSENT = 2, BUSY = 3 }

struct Hello {
  1: i32 protocol
  2: Role role
  3: string vm
  4: string start_id
  5: string failure_domain
  6: string region
  7: string address          // host:port on which the sender accepts connections
  8: list<string> services   // services of the backend server beside an agent
}

struct Ping { 1: i64 seq }
struct Pong { 1: i64 seq }

struct Replica {
  1: string service_name
  2: string version
  3: string manifest
  4: ReplicaPhase phase
  5: i64 bytes_verified
  6: i64 bytes_total
  7: string detail           // reason of a refusal
  8: i64 origin_bytes        // downloaded from the origin by this VM for this manifest
}

struct Load {
  1: i32 running             // requests running at the backend server
  2: i32 waiting
  3: i64 age_ms              // age of the report
  4: double cache_used       // share of the prefix cache in use, 0..1
}

struct Heartbeat {
  1: i64 seq
  2: i64 table_revision
  3: string table_digest
  4: map<string, i64> plan_revisions   // service -> revision in force
  5: list<Replica> replicas
  6: Load load
  7: bool leaving
  8: i32 running_attempts
  9: bool backend_up
  10: list<string> cached_prefixes     // hashes added since the last heartbeat
}

struct Assignment {
  1: string service_name
  2: i64 plan_revision
  3: list<string> fetch      // versions whose weights the VM holds
  4: list<string> serve      // versions that the backend server serves
}

struct HeartbeatReply {
  1: i64 seq
  2: i64 table_revision
  3: string table_digest
  4: list<Assignment> assignments      // only those newer than the heartbeat's
  5: i64 attempt_floor       // lowest open attempt id of this entry start
}

struct Goodbye { 1: string reason }

struct TableRequest { 1: i64 have_revision }

struct TableSnapshot {
  1: i64 revision
  2: string digest
  3: binary content          // canonical JSON of the table
}

struct TableDelta {
  1: i64 base_revision
  2: i64 revision
  3: string digest
  4: binary content          // JSON: changed rows and removed row keys
}

struct Suspect {
  1: string fingerprint
  2: i32 deaths
  3: list<string> failures   // ids of the failures, equal at every entry
}

struct Demand {
  1: string customer
  2: double requests_per_s
  3: i32 in_flight
}

// State of an agent, sent by an entry to entries that the agent is not connected to.
struct MemberReport {
  1: Hello hello
  2: i64 stamp               // hybrid logical clock of the reporting entry
  3: bool heard              // false: the connection to that entry ended
  4: bool leaving
  5: bool backend_up
  6: list<Replica> replicas  // service, version and phase only
  7: map<string, i64> plan_revisions
}

struct VmReport {
  1: string vm
  2: string role
  3: string address
  4: string failure_domain
  5: string region
  6: list<string> services
  7: bool leaving
  8: bool gone               // no longer in the VM list
}

// Without seq it carries only the changes found by a fetch of the VM list.
struct PeerState {
  1: i64 seq
  2: i64 table_revision
  3: string table_digest
  4: map<string, i64> plan_revisions
  5: list<Demand> demands
  6: list<Suspect> suspects
  7: bool leaving
  8: list<MemberReport> members        // changed since the last one on this connection
  9: i64 vms_stamp           // hybrid logical clock of a fetch of the VM list
  10: string vms_digest      // of the fetched list
  11: list<VmReport> vms     // VMs that differ from the sender's previous list
}

struct PlanRequest { 1: string service_name  2: i64 have_revision }

struct PlanSnapshot {
  1: string service_name
  2: i64 revision
  3: binary content          // canonical JSON of the plan
}

struct Member {
  1: string vm
  2: string address
  3: string failure_domain
  4: string region
  5: string start_id
}

struct Roster {
  1: string manifest
  2: i64 plan_revision
  3: list<Member> members
}

struct Holdings {
  1: string manifest
  2: binary bitmap           // bit i (least significant first) set: chunk i verified
  3: i32 free_slots
  4: optional bool asks      // the sender wants the receiver's bitmap in return
}

struct ManifestRequest {
  1: string manifest
  2: optional i64 offset     // of the requested part; a manifest may exceed a frame
}

struct ManifestReply {
  1: string manifest
  2: binary content          // the part that starts at the offset; empty: not held
  3: optional i64 offset
  4: optional i64 total      // size of the complete manifest in bytes
}

struct ChunkRequest {
  1: i64 request_id
  2: string digest
  3: optional bool probe     // query only whether the chunk is held: BUSY if it is
}

struct ChunkReply {
  1: i64 request_id
  2: string digest
  3: ChunkStatus status
  4: binary data
  5: i64 retry_after_ms      // with ABSENT: 0 if the chunk is not being fetched
}

struct Header { 1: string name  2: string value }

struct Attempt {
  1: string entry_start_id
  2: string agent_start_id
  3: i64 attempt_id
  4: string request_id
  5: string service_name
  6: string version          // empty for plain services
  7: string method
  8: string path
  9: list<Header> headers
  10: binary body
  11: bool idempotent
  12: i64 deadline_ms        // time left when the attempt was sent
  13: i32 priority
  14: string customer
  15: i64 offset             // answer bytes that the caller has already received
  16: string fingerprint
}

struct AnswerFrame {
  1: i64 attempt_id
  2: i64 offset
  3: binary data
  4: i32 status              // HTTP status, in the first frame
  5: list<Header> headers    // in the first frame
  6: bool final
  7: i64 total_length        // in the final frame
  8: string digest           // SHA-256 of the complete answer, in the final frame
  9: Outcome outcome         // in the final frame
  10: string reason          // why the outcome is not DONE
  11: string version         // version that produced the answer
  12: i64 retry_after_ms
  13: bool backend_died      // the backend server died while the attempt ran
  14: i64 backend_starts     // failures of the backend server before the attempt
  15: i32 running            // attempts in progress at the agent, in the final frame
  16: bool backend_up        // with backend_died: it still accepts connections
}

struct AnswerBatch { 1: list<AnswerFrame> frames }

struct AnswerAck { 1: i64 attempt_id  2: i64 offset }

struct Cancel { 1: i64 attempt_id }

struct Revoke { 1: i64 attempt_id  2: string entry_start_id }

struct RevokeReply {
  1: i64 attempt_id
  2: string entry_start_id
  3: AttemptPhase phase
  4: AnswerFrame answer      // the complete answer, if finished and still held
}

struct Resume { 1: i64 attempt_id  2: i64 offset }


union Message {
  1: Hello hello
  2: Ping ping
  3: Pong pong
  4: Heartbeat heartbeat
  5: HeartbeatReply heartbeat_reply
  6: Goodbye goodbye
  7: TableRequest table_request
  8: TableSnapshot table_snapshot
  9: TableDelta table_delta
  10: PeerState peer_state
  11: PlanRequest plan_request
  12: PlanSnapshot plan_snapshot
  13: Roster roster
  14: Holdings holdings
  15: ManifestRequest manifest_request
  16: ManifestReply manifest_reply
  17: ChunkRequest chunk_request
  18: ChunkReply chunk_reply
  19: Attempt attempt
  20: AnswerBatch answer_batch
  21: AnswerAck answer_ack
  22: Cancel cancel
  23: Revoke revoke
  24: RevokeReply revoke_reply
  25: Resume resume
}

struct Envelope {
  1: i64 hlc                 // hybrid logical clock: milliseconds * 2^16 + counter
  2: Message message
}
