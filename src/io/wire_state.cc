#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <limits>
#include <memory>
#include <utility>

#include "io/wire_groups.h"
#include "io/wire_log.h"
#include "io/wire_records.h"
#include "io/wire_traffic.h"
#include "radishroute/state_codec.h"

namespace radishroute {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using compact_protocol = TCompactProtocolT<TMemoryBuffer>;

// The overloads below would hide those of the other wire headers.
using radishroute::FromWire;
using radishroute::ToWire;

constexpr std::int32_t kFormatVersion = 1;
constexpr std::size_t kChecksumBytes = 8;
constexpr std::int32_t kNoLimit = std::numeric_limits<std::int32_t>::max();

std::string Checksum(std::string_view bytes) {
  std::uint64_t hash = StableHash(bytes);
  std::string text;
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    text.push_back(static_cast<char>((hash >> (8 * i)) & 0xFF));
  }
  return text;
}

wire::StateVersion ToWire(const config_version& v) {
  wire::StateVersion w;
  w.version = Signed(v.version);
  w.changeId = v.change_id;
  w.author = v.author;
  w.sheetHash = Signed(v.sheet_hash);
  return w;
}

config_version FromWire(const wire::StateVersion& w, bool&) {
  return {Unsigned(w.version), w.changeId, w.author, Unsigned(w.sheetHash)};
}

wire::StateChange ToWire(const change_record& c) {
  wire::StateChange w;
  w.changeId = c.change_id;
  w.baseVersion = Signed(c.base_version);
  w.sheetHash = Signed(c.sheet_hash);
  w.verdict = EnumToWire(c.result.verdict);
  w.version = Signed(c.result.version);
  w.winner = ToWire(c.result.winner);
  return w;
}

change_record FromWire(const wire::StateChange& w, bool& ok) {
  change_record c;
  c.change_id = w.changeId;
  c.base_version = Unsigned(w.baseVersion);
  c.sheet_hash = Unsigned(w.sheetHash);
  c.result.verdict = EnumFromWire(w.verdict, change_verdict::kMissingChangeId, ok);
  c.result.version = Unsigned(w.version);
  c.result.winner = FromWire(w.winner, ok);
  return c;
}

wire::StateRecord ToWire(const idempotency_record& r) {
  wire::StateRecord w;
  w.member = r.member;
  w.key = r.key;
  w.contentHash = Signed(r.content_hash);
  w.dispatch = radishroute::ToWire(r.dispatch);
  w.backend = r.backend;
  w.backendIncarnation = Signed(r.backend_incarnation);
  w.status = EnumToWire(r.status);
  w.answerStored = r.answer_stored;
  w.answerStatus = Signed(r.answer_status);
  w.answerType = r.answer_type;
  w.answer = r.answer;
  return w;
}

idempotency_record FromWire(const wire::StateRecord& w, bool& ok) {
  idempotency_record r;
  r.member = w.member;
  r.key = w.key;
  r.content_hash = Unsigned(w.contentHash);
  r.dispatch = radishroute::FromWire(w.dispatch, ok);
  r.backend = w.backend;
  r.backend_incarnation = Unsigned(w.backendIncarnation);
  r.status = EnumFromWire(w.status, record_status::kUnknown, ok);
  r.answer_stored = w.answerStored;
  r.answer_status = Unsigned(w.answerStatus);
  r.answer_type = w.answerType;
  r.answer = w.answer;
  return r;
}

wire::StateOrder ToWire(const order_record& r) {
  wire::StateOrder w;
  w.token = Signed(r.token);
  w.order = radishroute::ToWire(r.order);
  w.status = EnumToWire(r.status);
  return w;
}

order_record FromWire(const wire::StateOrder& w, bool& ok) {
  return {Unsigned(w.token), radishroute::FromWire(w.order, ok),
          EnumFromWire(w.status, order_status::kQueueFull, ok)};
}

template <class From, class To>
void ToWireList(const std::vector<From>& from, std::vector<To>& to) {
  ConvertList(from, to, [](const From& item) { return ToWire(item); });
}

template <class From, class To>
void FromWireList(const std::vector<From>& from, std::vector<To>& to, bool& ok) {
  ConvertList(from, to, [&](const From& item) { return FromWire(item, ok); });
}

wire::StateSnapshot ToWire(const snapshot_state& state) {
  wire::StateSnapshot w;
  w.formatVersion = kFormatVersion;
  w.lastIndex = Signed(state.last_index);
  w.lastTerm = Signed(state.last_term);
  ToWireList(state.replicas, w.replicas);
  w.current = ToWire(state.config.current);
  w.sheet = state.config.sheet;
  ToWireList(state.config.versions, w.versions);
  ToWireList(state.config.changes, w.changes);
  w.clockMicros = MicrosToWire(state.records.clock.time_since_epoch());
  ToWireList(state.records.records, w.records);
  ToWireList(state.orders, w.orders);
  w.__isset.orders = true;
  ToWireList(state.groups, w.groups);
  w.__isset.groups = true;
  w.__set_evacuations(radishroute::ToWire(state.evacuations));
  return w;
}

void FromWire(const wire::StateSnapshot& w, snapshot_state& out, bool& ok) {
  out.last_index = Unsigned(w.lastIndex);
  out.last_term = Unsigned(w.lastTerm);
  FromWireList(w.replicas, out.replicas, ok);
  out.config.current = FromWire(w.current, ok);
  out.config.sheet = w.sheet;
  FromWireList(w.versions, out.config.versions, ok);
  FromWireList(w.changes, out.config.changes, ok);
  out.records.clock = wall_time(std::chrono::microseconds(w.clockMicros));
  FromWireList(w.records, out.records.records, ok);
  FromWireList(w.orders, out.orders, ok);
  FromWireList(w.groups, out.groups, ok);
  out.evacuations = radishroute::FromWire(w.evacuations, ok);
}

}  // namespace

std::string thrift_state_codec::Encode(const snapshot_state& state) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  compact_protocol protocol(buffer);
  ToWire(state).write(&protocol);
  std::uint8_t* data = nullptr;
  std::uint32_t length = 0;
  buffer->getBuffer(&data, &length);
  std::string_view body(reinterpret_cast<const char*>(data), length);
  std::string out = Checksum(body);
  out.append(body);
  return out;
}

std::error_code thrift_state_codec::Decode(std::string_view bytes, snapshot_state& out) {
  if (bytes.size() < kChecksumBytes || bytes.size() > static_cast<std::size_t>(kNoLimit)) {
    return errc::kSnapshotCorrupt;
  }
  std::string_view body = bytes.substr(kChecksumBytes);
  if (Checksum(body) != bytes.substr(0, kChecksumBytes)) return errc::kSnapshotCorrupt;
  // Thrift reports malformed input by exceptions; they end here.
  try {
    auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(body.data()));
    auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(body.size()),
                                                  TMemoryBuffer::OBSERVE);
    compact_protocol protocol(buffer, kNoLimit, kNoLimit);
    wire::StateSnapshot w;
    w.read(&protocol);
    bool ok = w.formatVersion == kFormatVersion;
    FromWire(w, out, ok);
    return ok ? std::error_code() : errc::kSnapshotCorrupt;
  } catch (const std::exception&) {
    return errc::kSnapshotCorrupt;
  }
}

}  // namespace radishroute
