// Messages between the programs on the platform. Times are milliseconds unless named
// otherwise.
namespace py carobstand.wire.gen_fleet

// Datagram of an agent to entries: the latest load report of its engine.
struct EngineLoad {
  1: string address           // host:port of the engine
  2: i64 started_ms           // Unix time of the engine's start
  3: i64 number               // increasing report number; a smaller one arrived late
  4: i32 running
  5: i32 waiting
  6: double slowness          // above 1: processing is slower than published
  7: bool busy                // an order is in progress
  8: optional string model    // model whose weights it serves
  9: optional i32 version
  10: optional i32 first_layer
  11: optional i32 end_layer
  12: i32 load_in_ms          // time until its load is ordered, -1 if none is due
  13: optional i64 held_tokens  // tokens of all requests in its memory
  14: optional i32 receiving_version  // version of which the agent receives pieces
  15: optional i32 receiving_pieces   // number of its pieces that the agent holds
  16: optional list<i32> copies       // versions that the agent holds completely
  17: optional map<i32, i32> named_ago_ms  // by version named lately: time since the
                              // agent's watch of the store showed it as it was written
}

// Datagram between entries: a request whose server failed while running it. Entries of
// earlier versions send it; it is ignored.
struct FailedRun {
  1: binary fingerprint       // start of SHA-256 of path, customer and body
  2: string server_start      // server and its start time, equal at every entry
}

// Requests with one prompt part that were lost when a server ended.
struct PartSighting {
  1: binary crash             // identifies the server's start, equal at every entry
  2: list<binary> requests
  3: i32 age_ms               // time since the server ended
}

struct PartEvidence {
  1: binary part
  2: list<PartSighting> sightings
  3: optional i32 sound_ms    // time since a request with it was answered
  4: optional i32 convicted_ms  // time since it was convicted; absent: it is not
  5: i32 probes               // requests sent since then, and time since the last one
  6: i32 probed_ms
  7: optional bool is_proven  // absent: a conviction is proven
  8: optional i32 failures    // trials that failed while nothing else crashed servers
  9: optional list<binary> common  // parts of all of these that had no known answer
  10: optional i32 crashes    // servers that crashed under requests with it
  11: optional i32 late_trials  // trials since then that began late
  12: optional string trier   // the sending entry, if it began or ended a trial
  13: optional i32 trial_ms   // time since that trial began; -1: it has ended
}

// Datagram between entries: parts of prompts that may crash servers.
struct PartReport {
  1: list<PartEvidence> parts
  2: string address           // where the sending entry is reached
}

// Datagram between entries: asks for the evidence of an entry that has other evidence.
struct PartQuery {
  1: binary summary
  2: string address
}

// Datagram between entries: what a backend server said of its limit, and the permits to
// send to it that an entry asks of the entry that grants them.
struct PermitRequest {
  1: string server_id
  2: i64 started_ms           // Unix time of the server's start, 0: not known
  3: optional double limit    // requests/s of all entries; absent: withdrawn
  4: i64 named_ms             // time since the server named or withdrew it
  5: string vm                // entry that asks, and where it is reached
  6: string address
  7: i32 wanted               // 0: only passes on the limit
  8: i32 number               // increasing request number of the entry
  9: bool is_deputy           // asked because the first entry does not reply
  10: optional i32 cold_ms    // time for which the server stays cold, as far as known
  11: optional double sustained_per_s  // requests/s that it sustains while cold
  12: optional i32 cold_named_ms    // time since it told so; absent: assumed of a start
}

// Datagram between entries: reply to a request for permits, or further permits for it.
struct PermitReply {
  1: string server_id
  2: i64 started_ms
  3: optional double limit
  4: i64 named_ms
  5: i32 number               // of the request; 0: only passes on the limit
  6: i32 granted
  7: bool is_granting         // false: another entry grants permits of this server
  8: i32 interval_ms          // expected time between two permits for this entry
  9: i32 refresh_ms           // time after which the request is to be repeated
  10: bool is_deputy
  11: optional i32 cold_ms
  12: optional double sustained_per_s
  13: optional i32 cold_named_ms
  14: optional i32 waited_ms  // time from the receipt of the request to this reply
}

// Datagram between entries: an entry stops.
struct EntryLeaving {
  1: string vm
}

// Datagram between entries: an entry has joined. The reply names the replying entry,
// which counts the other one as running from then on.
struct EntryJoined {
  1: string vm
  2: string address
  3: string failure_domain
  4: string region
  5: bool is_reply
}

// Requests of one priority and customer that arrive at an entry; in a summary, the part
// of them to admit.
struct DemandRow {
  1: i32 rank                 // priority, 0 first
  2: string customer          // absent: the customers of the rank without a row
  3: i32 amount               // demand: ms of server time per s; summary: admitted, 1/1000
}

// Datagram between entries: what an entry is asked for of one service, to the entry that
// shares the service's capacity.
struct DemandReport {
  1: string name             // of the service
  2: string vm                // entry that reports, and where it is reached
  3: string address
  4: i32 number               // increasing report number of the entry
  5: list<DemandRow> rows
  6: i32 met                  // admitted requests since the last report by their outcome
  7: i32 late
  8: i32 rejected             // requests that could have been on time
  9: i32 served               // ms of server time per s of requests that were answered
}

// Datagram between entries: reply to a report.
struct DemandSummary {
  1: string name             // of the service
  2: i32 number               // of the report
  3: i32 refresh_ms           // time after which the next report is expected
  4: i32 capacity             // ms of server time per s
  5: optional i32 marginal_rank  // lower ranks are admitted, higher ones are not; absent:
                                 // nothing is restricted
  6: list<DemandRow> rows     // customers of that rank that are admitted in part
}

// First frame of a connection: requests the manifest of a version.
struct ManifestRequest {
  1: string model
  2: i32 version              // 0: the newest one
  3: bool manifest_only       // no block will be requested
}

struct ManifestReply {
  1: string model
  2: i32 version
  3: binary digests           // concatenated SHA-256 values
  4: i32 piece_bytes
  5: optional binary held     // pieces that the source holds: bit n % 8 of byte n / 8
}

// Requests a part of a piece; the reply holds data once the piece is available.
struct BlockRequest {
  1: i32 number
  2: i32 offset
  3: i32 size
  4: optional bool ahead      // no agent waits for this piece; others go first
  5: optional bool spare      // does not count as demand for this version
}

struct BlockReply {
  1: i32 number
  2: i32 offset
  3: binary data
}

// Requests from an entry the changes of the platform's store after a revision; the
// reply is sent once there are some, at the latest after wait_ms.
struct NewsRequest {
  1: i64 after
  2: i32 wait_ms
  3: i64 era                  // era of the store in which the revision counts
  4: optional i32 configuration  // asks instead for named versions and for a newer
                                 // configuration than this version
  5: optional bool services_only // of the configuration, only its services
}

struct NewsItem {
  1: string key
  2: optional binary value    // absent: the key was removed
  3: i64 revision
  4: i32 age_ms               // upper bound of the time since the change
}

struct NewsReply {
  1: i64 revision             // up to which changes are included
  2: list<NewsItem> items
  3: i32 age_ms               // no change made before this time ago is missing
  4: i32 troubled_ms          // time since the store last failed to answer
  5: bool is_complete         // false: changes after the revision are not held
  6: i64 era
  7: optional i32 unreachable_ms // time since the start of the store's last failed call
}

// First frame of a connection to an entry: asks where a request would go now. Nothing is
// sent to a backend server.
struct ExplainRequest {
  1: string host
  2: string path
  3: string key               // API key, empty for none
  4: i32 prompt_tokens
  5: i32 max_answer_tokens    // 0: none given
}

struct RankedServer {
  1: string server_id
  2: string failure_domain
  3: double first_event_s     // predicted time to the first event
  4: double margin_s          // by which it may come later
  5: double occupancy         // estimated requests at the server
  6: double slowness
  7: double cost_s            // the lowest one is the best
}

struct ExcludedServer {
  1: string server_id
  2: string failure_domain
  3: string reason
}

struct ExplainReply {
  1: string vm                // entry that replies
  2: string verdict           // send, hold or reject
  3: string reason            // of the verdict
  4: string route             // name; empty for none, as the fields below
  5: string service_name
  6: double service_share     // of the route's requests
  7: string customer
  8: optional list<string> permitted_regions  // absent: all regions
  9: double admitted_part     // part of such requests that is within the fair share
  10: list<RankedServer> ranked             // the best one first
  11: list<ExcludedServer> excluded
}

union Message {
  1: EngineLoad engine_load
  2: FailedRun failed_run
  3: ManifestRequest manifest_request
  4: ManifestReply manifest_reply
  5: BlockRequest block_request
  6: BlockReply block_reply
  7: NewsRequest news_request
  8: NewsReply news_reply
  9: PermitRequest permit_request
  10: PermitReply permit_reply
  11: EntryLeaving entry_leaving
  12: PartReport part_report
  13: PartQuery part_query
  14: EntryJoined entry_joined
  15: DemandReport demand_report
  16: DemandSummary demand_summary
  17: ExplainRequest explain_request
  18: ExplainReply explain_reply
}
