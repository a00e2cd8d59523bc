#include "io/wire.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

#include "io/wire_basic.h"
#include "io/wire_discovery.h"
#include "io/wire_engine.h"
#include "io/wire_failure.h"
#include "io/wire_groups.h"
#include "io/wire_log.h"
#include "io/wire_orders.h"
#include "io/wire_records.h"
#include "io/wire_traffic.h"

namespace radishroute {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using compact_protocol = TCompactProtocolT<TMemoryBuffer>;

/// Binds a message type to its number in FrameHeader and its Thrift struct.
template <std::int32_t Number, class Core, class Wire>
struct wire_entry {
  static constexpr std::int32_t kNumber = Number;
  using core_type = Core;
  using wire_type = Wire;
};

template <class... Entries>
struct wire_registry {};

// Numbers are never reused, so that processes of two versions do not misread each other.
using registry = wire_registry<                                     //
    wire_entry<1, hello, wire::Hello>,                              //
    wire_entry<2, heartbeat, wire::Heartbeat>,                      //
    wire_entry<3, dispatch_request, wire::DispatchRequest>,         //
    wire_entry<4, answer_begin, wire::AnswerBegin>,                 //
    wire_entry<5, answer_chunk, wire::AnswerChunk>,                 //
    wire_entry<6, answer_end, wire::AnswerEnd>,                     //
    wire_entry<7, answer_ack, wire::AnswerAck>,                     //
    wire_entry<8, dispatch_refused, wire::DispatchRefused>,         //
    wire_entry<9, dispatch_failed, wire::DispatchFailed>,           //
    wire_entry<10, cancel_dispatch, wire::CancelDispatch>,          //
    wire_entry<11, attach_dispatch, wire::AttachDispatch>,          //
    wire_entry<12, resolve_dispatch, wire::ResolveDispatch>,        //
    wire_entry<13, resolve_reply, wire::ResolveReply>,              //
    wire_entry<14, announcement, wire::Announcement>,               //
    wire_entry<15, directory_delta, wire::DirectoryDelta>,          //
    wire_entry<16, directory_digest, wire::DirectoryDigest>,        //
    wire_entry<17, directory_pull, wire::DirectoryPull>,            //
    wire_entry<18, crash_report, wire::CrashReport>,                //
    wire_entry<19, entry_heartbeats, wire::EntryBeats>,             //
    wire_entry<20, crash_evidence, wire::CrashEvidence>,            //
    wire_entry<30, append_request, wire::AppendRequest>,            //
    wire_entry<31, append_reply, wire::AppendReply>,                //
    wire_entry<32, vote_request, wire::VoteRequest>,                //
    wire_entry<33, vote_reply, wire::VoteReply>,                    //
    wire_entry<34, snapshot_chunk, wire::SnapshotChunk>,            //
    wire_entry<35, snapshot_reply, wire::SnapshotReply>,            //
    wire_entry<36, propose_request, wire::ProposeRequest>,          //
    wire_entry<37, propose_reply, wire::ProposeReply>,              //
    wire_entry<38, join_request, wire::JoinRequest>,                //
    wire_entry<39, join_reply, wire::JoinReply>,                    //
    wire_entry<50, claim_request, wire::ClaimRequest>,              //
    wire_entry<51, outcome_request, wire::OutcomeRequest>,          //
    wire_entry<52, record_reply, wire::RecordReply>,                //
    wire_entry<53, outcome_reply, wire::OutcomeReply>,              //
    wire_entry<54, lease_renew, wire::LeaseRenew>,                  //
    wire_entry<55, lease_grant, wire::LeaseGrant>,                  //
    wire_entry<56, config_push, wire::ConfigPush>,                  //
    wire_entry<57, version_query, wire::VersionQuery>,              //
    wire_entry<58, version_reply, wire::VersionReply>,              //
    wire_entry<59, evacuation_notice, wire::EvacuationNotice>,      //
    wire_entry<80, fence_query, wire::FenceQuery>,                  //
    wire_entry<81, fence_reply, wire::FenceReply>,                  //
    wire_entry<82, fenced_order, wire::FencedOrder>,                //
    wire_entry<83, order_reply, wire::OrderReply>,                  //
    wire_entry<90, group_report, wire::RankReport>,                 //
    wire_entry<91, group_grant, wire::StepGrant>,                   //
    wire_entry<100, engine_status, wire::EngineStatus>,             //
    wire_entry<101, engine_status_reply, wire::EngineStatusReply>,  //
    wire_entry<102, engine_command, wire::EngineCommand>,           //
    wire_entry<103, fleet_load, wire::FleetLoad>>;

template <class Core, class... Entries>
constexpr std::int32_t NumberOf(wire_registry<Entries...>) {
  std::int32_t number = 0;
  ((std::is_same_v<Core, typename Entries::core_type> ? number = Entries::kNumber : 0), ...);
  return number;
}

template <class Entry>
bool ReadAs(std::int32_t number, compact_protocol& protocol, message& out, bool& ok) {
  if (number != Entry::kNumber) return false;
  typename Entry::wire_type w;
  w.read(&protocol);
  out = FromWire(w, ok);
  return true;
}

template <class... Entries>
bool ReadBody(std::int32_t number, compact_protocol& protocol, message& out, bool& ok,
              wire_registry<Entries...>) {
  return (ReadAs<Entries>(number, protocol, out, ok) || ...);
}

void AppendPrefix(std::size_t length, std::string& out) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((length >> shift) & 0xFF));
  }
}

}  // namespace

std::error_code EncodeFrame(const message& m, std::string& out) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  compact_protocol protocol(buffer);
  std::visit(
      [&](const auto& core) {
        wire::FrameHeader header;
        header.protocolVersion = Signed(kProtocolVersion);
        header.messageType = NumberOf<std::decay_t<decltype(core)>>(registry{});
        header.write(&protocol);
        ToWire(core).write(&protocol);
      },
      m);
  std::uint8_t* data = nullptr;
  std::uint32_t length = 0;
  buffer->getBuffer(&data, &length);
  if (length > kMaxFrameBytes) return errc::kFrameTooLong;
  AppendPrefix(length, out);
  out.append(reinterpret_cast<const char*>(data), length);
  return {};
}

std::error_code DecodeFrame(std::string_view body, message& out) {
  // Thrift reports malformed input by exceptions; they end here.
  try {
    auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(body.data()));
    auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(body.size()),
                                                  TMemoryBuffer::OBSERVE);
    compact_protocol protocol(buffer, static_cast<std::int32_t>(kMaxFrameBytes),
                              static_cast<std::int32_t>(kMaxFrameBytes));
    wire::FrameHeader header;
    header.read(&protocol);
    if (header.protocolVersion != Signed(kProtocolVersion)) return errc::kUnsupportedVersion;
    bool ok = true;
    if (!ReadBody(header.messageType, protocol, out, ok, registry{})) return errc::kFrameMalformed;
    return ok ? std::error_code() : errc::kFrameMalformed;
  } catch (const std::exception&) {
    return errc::kFrameMalformed;
  }
}

std::size_t FrameBodyLength(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFramePrefixBytes; ++i) {
    length = (length << 8) | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

}  // namespace radishroute
