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
}
struct DirectoryDelta { 1: list<Announcement> records }
struct DirectoryDigest { 1: i64 recordCount; 2: i64 hash; 3: optional bool reply = false }
struct DirectoryPull { 1: optional list<i64> bucketHashes = [] }

struct CrashCharge { 1: i64 content; 2: i64 source; 3: i32 sequence; 4: i64 ageMillis }
struct CrashReport { 1: list<CrashCharge> charges; 2: list<i64> cleared }
struct EntryBeat { 1: i64 node; 2: i64 value }
struct EntryBeats { 1: list<EntryBeat> beats }

// Precedes each message in a frame. `messageType` numbers are listed in src/io/wire.cc.
struct FrameHeader { 1: i32 protocolVersion; 2: i32 messageType }
