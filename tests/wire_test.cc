#include "io/wire.h"

#include <catch2/catch.hpp>

namespace radishroute {

namespace {

message RoundTrip(const message& in) {
  std::string frame;
  REQUIRE_FALSE(EncodeFrame(in, frame));
  REQUIRE(FrameBodyLength(frame) == frame.size() - kFramePrefixBytes);
  message out;
  REQUIRE_FALSE(DecodeFrame(std::string_view(frame).substr(kFramePrefixBytes), out));
  return out;
}

}  // namespace

// Guards against a field that is lost or cast wrongly between message and Thrift struct.
TEST_CASE("dispatch survives encoding") {
  dispatch_request in;
  in.id = {{0xFFFFFFFFFFFFFFF0ULL, 7}, 3};
  in.agent_incarnation = 0x8000000000000001ULL;
  in.member = "club-1";
  in.cls = priority_class::kBatch;
  in.time_left = std::chrono::milliseconds(250);
  in.content = {42};
  in.suspect = true;
  in.repeatable = false;
  in.config_version = 9;
  in.floor_percent = {0, 10, 20};
  in.body = std::string("a\0b", 3);
  auto out = std::get<dispatch_request>(RoundTrip(in));
  CHECK(out.id == in.id);
  CHECK(out.agent_incarnation == in.agent_incarnation);
  CHECK(out.member == in.member);
  CHECK(out.cls == in.cls);
  CHECK(out.time_left == in.time_left);
  CHECK(out.content == in.content);
  CHECK(out.suspect);
  CHECK_FALSE(out.repeatable);
  CHECK(out.config_version == in.config_version);
  CHECK(out.floor_percent == in.floor_percent);
  CHECK(out.body == in.body);
}

// Guards against losing a part of crash reports, on which the limit of two crashes rests.
TEST_CASE("crash reports, beats and pulls survive encoding") {
  crash_report in{{{{7}, 0xFFFFFFFFFFFFFFFFULL, 3, std::chrono::milliseconds(5)}}, {{8}}};
  auto out = std::get<crash_report>(RoundTrip(in));
  REQUIRE(out.charges.size() == 1);
  CHECK(out.charges[0].source == in.charges[0].source);
  CHECK(out.charges[0].sequence == 3);
  CHECK(out.charges[0].age == in.charges[0].age);
  CHECK(out.cleared == in.cleared);
  CHECK(std::get<entry_heartbeats>(RoundTrip(entry_heartbeats{{{1, 2}}})).beats[0].value == 2);
  CHECK(std::get<directory_pull>(RoundTrip(directory_pull{{4, 5}})).bucket_hashes.size() == 2);
  CHECK(std::get<directory_digest>(RoundTrip(directory_digest{1, 2, true})).reply);
}

// Guards against a command that differs between the leader and the replicas it is sent to.
TEST_CASE("log entries survive encoding") {
  append_request in;
  in.header = {3, {~0ULL}, {2}, 9};
  in.prev_index = 4;
  in.sent = steady_time(std::chrono::nanoseconds(123456789));
  wall_time at{std::chrono::microseconds(1700000000000001)};
  replica learner{{5}, "zone-b", {"10.0.0.1", 9000}, false, {6}};
  in.entries = {
      {9, 5, record_claim{"club-1", "key", 7, {{1, 2}, 3}, "desk", 8, at}},
      {9, 6, replica_change{{learner}}},
      {9, 7, record_outcome{"club-1", "key", {}, record_status::kUnknown, 503, "t", "a"}}};
  auto out = std::get<append_request>(RoundTrip(in));
  CHECK(out.header.from == in.header.from);
  CHECK(out.sent == in.sent);
  REQUIRE(out.entries.size() == 3);
  auto claim = std::get<record_claim>(out.entries[0].body);
  CHECK(claim.dispatch == dispatch_id{{1, 2}, 3});
  CHECK(claim.at == at);
  CHECK(claim.backend_incarnation == 8);
  auto change = std::get<replica_change>(out.entries[1].body).replicas.at(0);
  CHECK(change.address == learner.address);
  CHECK_FALSE(change.voting);
  CHECK(change.replaces == voter_id{6});
  auto outcome = std::get<record_outcome>(out.entries[2].body);
  CHECK(outcome.status == record_status::kUnknown);
  CHECK(outcome.answer_status == 503);
  CHECK(outcome.answer == "a");
}

// Guards against accepting frames of another protocol version or garbage.
TEST_CASE("malformed frames are typed errors") {
  message out;
  CHECK(DecodeFrame("", out) == errc::kFrameMalformed);
  CHECK(DecodeFrame("\xff\xff\xff\xff\xff\xff", out) == errc::kFrameMalformed);
  std::string frame;
  REQUIRE_FALSE(EncodeFrame(heartbeat{1}, frame));
  std::string body = frame.substr(kFramePrefixBytes);
  body[1] = static_cast<char>(body[1] + 2);
  CHECK(DecodeFrame(body, out) == errc::kUnsupportedVersion);
  for (std::size_t cut = 0; cut < body.size(); ++cut) {
    CHECK(DecodeFrame(std::string_view(body).substr(0, cut), out));
  }
}

// Guards against an entry that applies a part of a patch, or gets none because its request is lost.
TEST_CASE("a patch of the configuration survives encoding") {
  config_push in{
      7, "ayse", {}, config_patch{5, {0xFFFFFFFFFFFFFFF0ULL, {{1, 2, 3}, {4, 5, 0}}, "a"}}};
  auto out = std::get<config_push>(RoundTrip(in));
  REQUIRE(out.patch);
  CHECK(out.patch->base_version == 5);
  CHECK(out.patch->changes.text_hash == in.patch->changes.text_hash);
  CHECK(out.patch->changes.edits == in.patch->changes.edits);
  CHECK(out.patch->changes.inserted == "a");
  CHECK_FALSE(std::get<config_push>(RoundTrip(config_push{7, "ayse", "sheet"})).patch);
  lease_renew renew;
  renew.accepts_patch = true;
  CHECK(std::get<lease_renew>(RoundTrip(renew)).accepts_patch);
}

}  // namespace radishroute
