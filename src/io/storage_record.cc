#include "io/storage_record.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <array>
#include <memory>

#include "io/wire_log.h"
#include "radishroute/error.h"

namespace radishroute {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using compact_protocol = TCompactProtocolT<TMemoryBuffer>;

std::shared_ptr<TConfiguration> LargeMessages() {
  constexpr int kMax = static_cast<int>(kMaxRecordBytes);
  return std::make_shared<TConfiguration>(kMax, kMax);
}

template <class Wire>
std::string Encode(const Wire& w) {
  auto buffer = std::make_shared<TMemoryBuffer>(LargeMessages());
  compact_protocol protocol(buffer);
  w.write(&protocol);
  return buffer->getBufferAsString();
}

template <class Wire>
bool Decode(std::string_view payload, Wire& w) {
  // Thrift reports malformed input by exceptions; they end here.
  try {
    auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(payload.data()));
    auto size = static_cast<std::int32_t>(payload.size());
    auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(size),
                                                  TMemoryBuffer::OBSERVE, LargeMessages());
    // An element takes a byte at least, so no list or string is longer than the payload.
    compact_protocol protocol(buffer, size, size);
    w.read(&protocol);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

void AppendLittleEndian(std::uint64_t value, int bytes, std::string& out) {
  for (int i = 0; i < bytes; ++i) out.push_back(static_cast<char>(value >> (8 * i)));
}

std::uint64_t ReadLittleEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    value |= std::uint64_t{static_cast<unsigned char>(bytes[i])} << (8 * i);
  }
  return value;
}

std::uint32_t HeaderCheck(std::string_view header) {
  std::string fields(header.substr(0, 4));
  fields += header.substr(8, 8);
  return static_cast<std::uint32_t>(StableHash(fields));
}

bool HeaderValid(std::string_view header) {
  return ReadLittleEndian(header.substr(4, 4)) == HeaderCheck(header);
}

// Length of a whole, undamaged record at the start of `bytes`, or 0.
std::size_t RecordLength(std::string_view bytes) {
  if (bytes.size() < kRecordHeaderBytes || !HeaderValid(bytes)) return 0;
  std::size_t length = ReadLittleEndian(bytes.substr(0, 4));
  if (length > bytes.size() - kRecordHeaderBytes) return 0;
  std::string_view payload = bytes.substr(kRecordHeaderBytes, length);
  if (StableHash(payload) != ReadLittleEndian(bytes.substr(8, 8))) return 0;
  return kRecordHeaderBytes + length;
}

// Whether the bytes from a record that is not whole on are what a crash during its write leaves.
// Only one record is written at a time, so nothing valid can follow a torn one.
bool IsTorn(std::string_view rest) {
  if (rest.size() >= kRecordHeaderBytes && HeaderValid(rest)) {
    std::size_t length = ReadLittleEndian(rest.substr(0, 4));
    return kRecordHeaderBytes + length >= rest.size();
  }
  for (std::size_t i = 1; i + kRecordHeaderBytes <= rest.size(); ++i) {
    if (RecordLength(rest.substr(i)) != 0) return false;
  }
  return true;
}

}  // namespace

void AppendRecord(std::string_view payload, std::string& out) {
  std::string header;
  AppendLittleEndian(payload.size(), 4, header);
  AppendLittleEndian(0, 4, header);
  AppendLittleEndian(StableHash(payload), 8, header);
  std::string check;
  AppendLittleEndian(HeaderCheck(header), 4, check);
  header.replace(4, 4, check);
  out += header;
  out += payload;
}

record_scan ScanRecords(std::string_view bytes) {
  record_scan scan;
  while (scan.valid_bytes < bytes.size()) {
    std::string_view rest = bytes.substr(scan.valid_bytes);
    std::size_t length = RecordLength(rest);
    if (length == 0) {
      scan.result = IsTorn(rest) ? scan_result::kTorn : scan_result::kDamaged;
      return scan;
    }
    scan.payloads.push_back(rest.substr(kRecordHeaderBytes, length - kRecordHeaderBytes));
    scan.valid_bytes += length;
  }
  return scan;
}

bool ReadSingleRecord(std::string_view bytes, std::string_view& payload) {
  if (RecordLength(bytes) != bytes.size() || bytes.empty()) return false;
  payload = bytes.substr(kRecordHeaderBytes);
  return true;
}

std::string EncodePayload(const log_batch& batch) {
  wire::LogBatch w;
  w.truncateFrom = Signed(batch.truncate_from);
  ListToWire(batch.entries, w.entries);
  return Encode(w);
}

std::string EncodePayload(const store_batch& batch) {
  wire::LogBatch w;
  w.truncateFrom = Signed(batch.truncate_from);
  ListToWire(batch.entries, w.entries);
  return Encode(w);
}

std::string EncodePayload(const vote_record& vote) {
  wire::VoteRecord w;
  w.term = Signed(vote.term);
  w.votedFor = Signed(vote.voted_for.value);
  return Encode(w);
}

std::string EncodePayload(const voter_id& id) {
  wire::VoterRecord w;
  w.id = Signed(id.value);
  return Encode(w);
}

std::string EncodePayload(const log_snapshot& snapshot) {
  wire::SnapshotRecord w;
  w.index = Signed(snapshot.index);
  w.term = Signed(snapshot.term);
  ListToWire(snapshot.replicas, w.replicas);
  w.state = snapshot.state;
  return Encode(w);
}

std::error_code DecodePayload(std::string_view payload, log_batch& out) {
  wire::LogBatch w;
  bool ok = Decode(payload, w);
  out.truncate_from = Unsigned(w.truncateFrom);
  ConvertList(w.entries, out.entries, [&](const wire::LogEntry& e) { return FromWire(e, ok); });
  return ok ? std::error_code() : errc::kLogCorrupt;
}

std::error_code DecodePayload(std::string_view payload, vote_record& out) {
  wire::VoteRecord w;
  if (!Decode(payload, w)) return errc::kLogCorrupt;
  out = {Unsigned(w.term), {Unsigned(w.votedFor)}};
  return {};
}

std::error_code DecodePayload(std::string_view payload, voter_id& out) {
  wire::VoterRecord w;
  if (!Decode(payload, w) || w.id == 0) return errc::kLogCorrupt;
  out = {Unsigned(w.id)};
  return {};
}

std::error_code DecodePayload(std::string_view payload, log_snapshot& out) {
  wire::SnapshotRecord w;
  bool ok = Decode(payload, w);
  out.index = Unsigned(w.index);
  out.term = Unsigned(w.term);
  ConvertList(w.replicas, out.replicas, [&](const wire::Replica& r) { return FromWire(r, ok); });
  out.state = std::move(w.state);
  return ok ? std::error_code() : errc::kSnapshotCorrupt;
}

}  // namespace radishroute
