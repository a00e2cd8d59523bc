// Messages between radishroute's own processes. Field ids are never reused; a new field is optional.
namespace cpp radishroute.wire

struct ProcessId { 1: i64 node; 2: i64 incarnation }
struct RequestId { 1: i64 origin; 2: i64 sequence }
struct DispatchId { 1: RequestId request; 2: i32 attempt }
struct Endpoint { 1: string host; 2: i32 port }

struct Hello {
  1: i32 protocolVersion
  2: ProcessId process
  3: i32 role
  4: string nodeName
  5: string zone
  6: string secret
}
struct Heartbeat { 1: i64 sequence }

struct LoadReport {
  1: i32 running
  2: i32 limit
  3: i32 queued
  4: list<i64> expectedWaitMicros
}
struct DispatchRequest {
  1: DispatchId id
  2: i64 agentIncarnation
  3: string member
  4: i32 memberWeight
  5: i32 priorityClass
  6: i64 timeLeftMicros
  7: i64 content
  8: bool suspect
  9: bool repeatable
  10: bool stream
  11: i32 maxTokens
  12: i64 resumeOffset
  13: string path
  14: string idempotencyKey
  15: binary body
  16: optional i64 configVersion
  17: optional list<i32> floorPercent
}
struct AnswerBegin { 1: DispatchId id; 2: i32 status; 3: string contentType }
struct AnswerChunk { 1: DispatchId id; 2: i64 offset; 3: binary bytes }
struct AnswerEnd { 1: DispatchId id; 2: i64 length; 3: LoadReport load }
struct AnswerAck { 1: DispatchId id }
struct DispatchRefused { 1: DispatchId id; 2: i32 reason; 3: i64 retryAfterMicros; 4: LoadReport load }
struct DispatchFailed { 1: DispatchId id; 2: i32 reason; 3: LoadReport load }
struct CancelDispatch { 1: DispatchId id }
struct AttachDispatch { 1: DispatchId id; 2: i64 offset }
struct ResolveDispatch { 1: DispatchId id; 2: i64 agentIncarnation }
struct ResolveReply { 1: DispatchId id; 2: i32 state }

struct Announcement {
  1: string backend
  2: i64 incarnation
  3: i64 sequence
  4: i32 status
  5: i32 kind
  6: string zone
  7: Endpoint trafficAddress
  8: list<string> models
  9: list<string> adapters
  10: string version
  11: string engineRole
  12: i32 concurrencyLimit
  13: bool checksFencing
  14: optional i64 home = 0
  15: optional i32 coldMillis = 0
}
struct DirectoryDelta { 1: list<Announcement> records }
struct DirectoryDigest { 1: i64 recordCount; 2: i64 hash; 3: optional bool reply = false }
struct DirectoryPull { 1: optional list<i64> bucketHashes = [] }

struct CrashCharge { 1: i64 content; 2: i64 source; 3: i32 sequence; 4: i64 ageMillis }
struct CrashReport { 1: list<CrashCharge> charges; 2: list<i64> cleared }
struct ContentObservation { 1: i64 content; 2: i64 ageMillis }
struct CrashEvidence { 1: list<ContentObservation> crashes; 2: list<ContentObservation> successes }
struct EntryBeat { 1: i64 node; 2: i64 value }
struct EntryBeats { 1: list<EntryBeat> beats }

// Replicated log. `messageType` numbers 30-49. The same structs are stored in segment and snapshot files.
struct Replica { 1: i64 id; 2: string zone; 3: Endpoint address; 4: bool voting; 5: i64 replaces }
struct NoOperation {}
struct ReplicaChange { 1: list<Replica> replicas }
struct ConfigChange {
  1: i64 baseVersion
  2: string changeId
  3: string author
  4: binary sheet
  5: optional i32 precedence = 0
}
struct RecordClaim {
  1: string member
  2: string key
  3: i64 contentHash
  4: DispatchId dispatchId
  5: string backend
  6: i64 backendIncarnation
  7: i64 atMicros
}
struct RecordOutcome {
  1: string member
  2: string key
  3: DispatchId dispatchId
  4: i32 status
  5: i32 answerStatus
  6: string answerType
  7: binary answer
}
struct OrderSubmission { 1: string changeId; 2: string author; 3: string backend; 4: i32 kind; 5: string name; 6: i64 bytes }
struct OrderCompletion { 1: i64 token; 2: i32 status }
// Expert-parallel groups. `action` is the index in `group_command`; a map has two little-endian bytes per slot, layer by
// layer.
struct GroupShape { 1: i32 ranks; 2: i32 experts; 3: i32 layers; 4: i32 slotsPerRank }
struct GroupChange {
  1: string group
  2: i32 action
  3: i32 ranks
  4: i64 mapVersion
  5: i64 lastStep
  6: GroupShape shape
  7: binary slots
  8: string reason
  9: i64 bytes
}
struct GroupPin { 1: string group; 2: bool pinned }
struct ZoneEvacuation { 1: string zone; 2: bool evacuated }
// Exactly one field is set.
struct Command {
  1: optional NoOperation noOperation
  2: optional ReplicaChange replicaChange
  3: optional ConfigChange configChange
  4: optional RecordClaim recordClaim
  5: optional RecordOutcome recordOutcome
  10: optional OrderSubmission orderSubmission
  11: optional OrderCompletion orderCompletion
  15: optional GroupChange groupChange
  16: optional GroupPin groupPin
  17: optional ZoneEvacuation zoneEvacuation
}
struct LogEntry { 1: i64 term; 2: i64 index; 3: Command body }
struct RaftHeader { 1: i32 logGroup; 2: i64 sender; 3: i64 recipient; 4: i64 term }
struct AppendRequest {
  1: RaftHeader header
  2: i64 prevIndex
  3: i64 prevTerm
  4: i64 commit
  5: i64 sentNanos
  6: list<LogEntry> entries
}
struct AppendReply { 1: RaftHeader header; 2: bool matched; 3: i64 matchIndex; 4: i64 sentNanos }
struct VoteRequest { 1: RaftHeader header; 2: bool preVote; 3: i64 lastIndex; 4: i64 lastTerm }
struct VoteReply { 1: RaftHeader header; 2: bool preVote; 3: bool granted }
struct SnapshotChunk {
  1: RaftHeader header
  2: i64 index
  3: i64 snapshotTerm
  4: list<Replica> replicas
  5: i64 total
  6: i64 hash
  7: i64 offset
  8: binary bytes
  9: i64 sentNanos
}
struct SnapshotReply { 1: RaftHeader header; 2: i64 index; 3: i64 nextOffset; 4: bool done; 5: i64 sentNanos }
struct ProposeRequest { 1: i32 logGroup; 2: i64 proposal; 3: Command body }
struct ProposeReply { 1: i32 logGroup; 2: i64 proposal; 3: i32 status; 4: i64 index; 5: Endpoint leader }
// A replica that is in no group asks the leader to be added.
struct JoinRequest { 1: Replica candidate }
struct JoinReply { 1: Endpoint leaderHint }
// One record of a segment file.
struct LogBatch { 1: i64 truncateFrom; 2: list<LogEntry> entries }
struct VoterRecord { 1: i64 id }
struct VoteRecord { 1: i64 term; 2: i64 votedFor }
struct SnapshotRecord { 1: i64 index; 2: i64 term; 3: list<Replica> replicas; 4: binary state }

// Claims and outcomes of idempotency keys, entry to leader.
struct ClaimRequest {
  1: i64 proposal
  2: string member
  3: string key
  4: i64 contentHash
  5: DispatchId dispatch
  6: string backend
  7: i64 backendIncarnation
}
struct OutcomeRequest {
  1: i64 proposal
  2: string member
  3: string key
  4: DispatchId dispatch
  5: i32 status
  6: i32 answerStatus
  7: string answerType
  8: binary answer
}
struct RecordReply {
  1: i64 proposal
  2: i32 verdict
  3: DispatchId holder
  4: string backend
  5: i64 backendIncarnation
  6: bool answerStored
  7: i32 answerStatus
  8: string answerType
  9: binary answer
}
struct OutcomeReply { 1: i64 proposal; 2: i32 verdict }

// Evacuated availability zones; the version is the log index of the last change. `messageType` number 59.
struct EvacuationNotice { 1: i64 version; 2: list<string> zones }

// Configuration leases. A duration is in microseconds.
struct LeaseRenew {
  1: i64 sequence
  2: string node
  3: string zone
  4: i64 appliedVersion
  5: i64 heardVersion
  6: optional i64 evacuationVersion = 0
  7: optional bool acceptsPatch = false
}
struct LeaseGrant {
  1: i64 sequence
  2: bool granted
  3: Endpoint leaderHint
  4: i64 durationMicros
  5: i64 version
  6: optional list<Endpoint> controllers = []
  7: optional EvacuationNotice evacuations
}
struct TextEdit { 1: i64 offset; 2: i64 length; 3: i64 inserted }
struct ConfigPatch { 1: i64 baseVersion; 2: i64 textHash; 3: list<TextEdit> edits; 4: binary inserted }
struct ConfigPush { 1: i64 version; 2: string author; 3: binary sheet; 4: optional ConfigPatch patch }
struct VersionQuery { 1: i64 sequence }
struct VersionReply {
  1: i64 sequence
  2: i64 version
  3: binary sheet
  4: string zone
  5: optional EvacuationNotice evacuations
}

// Fenced orders. `messageType` numbers 80-89.
struct FenceQuery { 1: i64 sequence; 2: string backend; 3: i64 agentIncarnation }
struct FenceReply { 1: i64 sequence; 2: i64 agentIncarnation; 3: bool granted; 4: Endpoint leaderHint; 5: i64 fence }
struct FencedOrder { 1: string backend; 2: i64 token; 3: i32 kind; 4: string name; 5: i64 bytes }
struct OrderReply { 1: string backend; 2: i64 token; 3: i32 status }
// Reports of ranks and grants of steps. `messageType` numbers 90-99.
struct StepRange { 1: i64 mapVersion; 2: i64 first; 3: i64 last }
struct ExpertMap { 1: i64 version; 2: binary slots }
struct RankReport {
  1: i64 sequence
  2: string group
  3: GroupShape shape
  4: i32 rank
  5: i64 incarnation
  6: i64 step
  7: i64 granted
  8: list<i64> loaded
  9: i64 window
  10: i64 windowMicros
  11: list<i32> cells
  12: list<i32> counts
  13: i32 windowSteps
}
struct StepGrant {
  1: i64 sequence
  2: string group
  3: bool leads
  4: Endpoint leaderHint
  5: list<StepRange> ranges
  6: i64 loadMap
  7: i64 droppableThrough
  8: list<ExpertMap> maps
}

// Engines beside a sidecar, and what the leader orders. `messageType` numbers 100-109. Lists of experts are flattened: by
// set, rank and place, with -1 for an empty place.
struct EngineStatus {
  1: i64 sequence
  2: string group
  3: i64 epoch
  4: i32 rank
  5: i32 ranks
  6: bool open
  7: i64 step
  8: i64 mapVersion
  9: i64 preparedVersion
  10: i64 armedVersion
  11: i64 armedStep
  12: i64 heldStep
  13: list<i32> counts
  14: list<i32> experts
  15: i64 lastCommand
  16: i32 lastResult
  17: i64 uncertainMicros
  18: Endpoint address
  19: i32 running
  20: i32 waiting
}
struct EngineStatusReply { 1: i64 sequence; 2: bool leads; 3: Endpoint leaderHint; 4: bool wantsExperts }
struct EngineCommand {
  1: i64 term
  2: i64 number
  3: i64 epoch
  4: i32 operation
  5: i64 mapVersion
  6: i64 step
  7: list<i32> experts
  8: i32 sets
  9: i32 ranks
}

struct EngineLoad { 1: Endpoint address; 2: i32 running; 3: i32 waiting; 4: i32 ageMillis }
struct FleetLoad {
  1: bool open
  2: i64 passMicros
  3: list<EngineLoad> engines
  4: i32 entries
  5: optional string group
  6: optional i64 epoch = 0
  7: optional i64 term = 0
  8: optional i64 sequence = 0
}

// Contents of a snapshot of the state machine.
struct StateGroup {
  1: string name
  2: GroupShape shape
  3: list<StepRange> ranges
  4: i64 proposed
  5: i64 highestMap
  6: list<ExpertMap> maps
  7: bool pinned
  8: i64 changedMap
  9: string reason
  10: i64 bytes
  11: i64 bytesMoved
  12: i64 changes
}
struct StateVersion { 1: i64 version; 2: string changeId; 3: string author; 4: i64 sheetHash }
struct StateChange {
  1: string changeId
  2: i64 baseVersion
  3: i64 sheetHash
  4: i32 verdict
  5: i64 version
  6: StateVersion winner
}
struct StateRecord {
  1: string member
  2: string key
  3: i64 contentHash
  4: DispatchId dispatch
  5: string backend
  6: i64 backendIncarnation
  7: i32 status
  8: bool answerStored
  9: i32 answerStatus
  10: string answerType
  11: binary answer
}
struct StateOrder { 1: i64 token; 2: OrderSubmission order; 3: i32 status }
struct StateSnapshot {
  1: i32 formatVersion
  2: i64 lastIndex
  3: i64 lastTerm
  4: list<Replica> replicas
  5: StateVersion current
  6: binary sheet
  7: list<StateVersion> versions
  8: list<StateChange> changes
  9: i64 clockMicros
  10: list<StateRecord> records
  20: optional list<StateOrder> orders = []
  25: optional list<StateGroup> groups
  26: optional EvacuationNotice evacuations
}

// Precedes each message in a frame. `messageType` numbers are listed in src/io/wire.cc.
struct FrameHeader { 1: i32 protocolVersion; 2: i32 messageType }
