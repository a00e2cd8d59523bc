#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "fake_context.h"
#include "io/wire.h"
#include "radishroute/announcer.h"
#include "radishroute/order_client.h"
#include "radishroute/order_server.h"
#include "state_fixture.h"

namespace radishroute {

namespace {

order_submission Submission(const std::string& id, const std::string& name = "draft",
                            const std::string& backend = "engine-1") {
  return {id, "ayse", backend, order_kind::kLoadModel, name, 7};
}

struct fake_log {
  std::optional<log_position> Propose(command c, reduce_context&) {
    proposed.push_back(std::move(c));
    return log_position{1, proposed.size()};
  }
  std::vector<command> proposed;
};

const endpoint leader_address{"10.0.0.1", 1};
constexpr link_id kLink{5};

/// An agent's order client whose link to the leader is open.
struct client_fixture {
  explicit client_fixture(bool checks) : client(Settings(checks), {leader_address}) {
    context.Do([&](auto& ctx) { client.Handle(process_started{}, ctx); });
    context.Do([&](auto& ctx) { client.Handle(link_opened{kLink, {}, leader_address}, ctx); });
  }
  static order_client_settings Settings(bool checks) {
    return {"engine-1", 3, std::chrono::seconds(10), std::chrono::seconds(5), checks};
  }
  void ReceiveFence(std::uint64_t fence) {
    context.Do([&](auto& ctx) { client.Handle(kLink, fence_reply{1, 3, true, {}, fence}, ctx); });
  }
  void ReceiveOrder(std::uint64_t token) {
    fenced_order m{"engine-1", token, order_kind::kLoadModel, "draft", 0};
    context.Do([&](auto& ctx) { client.Handle(kLink, m, ctx); });
  }
  void FinishCall(std::uint64_t token, std::optional<order_status> status) {
    engine_order_finished e{{"engine-1", token, order_kind::kLoadModel, "draft", 0}, status};
    context.Do([&](auto& ctx) { client.Handle(e, ctx); });
  }
  void Advance(std::chrono::milliseconds by) {
    context.Advance(by);
    context.Do([&](auto& ctx) { client.Handle(timer_expired{}, ctx); });
  }
  std::size_t CountStarted() const { return context.All<start_engine_order>().size(); }
  order_status RepliedStatus() const {
    auto sent = context.Sent<order_reply>();
    return sent.empty() ? order_status::kPending : sent.back().second.status;
  }

  fake_context context;
  order_client client;
};

}  // namespace

// Guards against a resend that runs an order twice, and against a second order with the same change
// id that seems to be accepted.
TEST_CASE("a change id identifies one order") {
  state_fixture state;
  state.Apply(Submission("c-1"));
  state.Apply(Submission("c-1"));
  state.Apply(Submission("c-1", "other"));
  CHECK(state.machine.Orders().Orders().size() == 1);
  CHECK(state.machine.Orders().FindChange("c-1")->order.name == "draft");
  CHECK(state.machine.Orders().FindChange("c-1")->token == 1);
}

// Guards against losing tokens or ended orders in a restart from a snapshot.
TEST_CASE("orders survive a snapshot") {
  state_fixture state;
  state.Apply(Submission("c-1"));
  state.Apply(Submission("c-2"));
  state.Apply(order_completion{1, order_status::kWeightsUnavailable});
  test_state copy;
  REQUIRE_FALSE(copy.Restore(state.machine.Snapshot()));
  CHECK(copy.Orders().FindToken(1)->status == order_status::kWeightsUnavailable);
  CHECK(copy.Orders().FindToken(1)->order == Submission("c-1"));
  CHECK(copy.Orders().NextPending("engine-1")->token == 2);
  CHECK(copy.Snapshot() == state.machine.Snapshot());
}

// Guards against unbounded state, and against dropping a pending order.
TEST_CASE("the number of orders is bounded") {
  fake_context context;
  order_table table({4, 2});
  std::uint64_t token = 0;
  auto submit = [&](const std::string& id, const std::string& backend) {
    context.Do([&](auto& ctx) { table.Apply(Submission(id, "m", backend), ++token, ctx); });
  };
  for (const char* id : {"a", "b", "c"}) submit(id, "engine-1");
  CHECK(table.FindChange("c")->status == order_status::kQueueFull);
  submit("d", "engine-2");
  submit("e", "engine-2");
  CHECK(table.Orders().size() == 4);
  CHECK(table.FindChange("c") == nullptr);
  CHECK(table.FindChange("a")->status == order_status::kPending);
  submit("f", "engine-3");
  CHECK(table.Orders().size() == 4);
  CHECK(table.NextPending("engine-1")->order.change_id == "a");
}

// Guards against two concurrent orders at an engine, and against a completion by another backend
// server's agent.
TEST_CASE("the leader sends one order at a time") {
  fake_context context;
  order_table table;
  order_server server;
  fake_log log;
  auto apply = [&](std::uint64_t index, const command& body) {
    context.Do([&](auto& ctx) {
      if (const auto* s = std::get_if<order_submission>(&body)) table.Apply(*s, index, ctx);
      if (const auto* c = std::get_if<order_completion>(&body)) table.Apply(*c, ctx);
      server.OnApplied({1, index, body}, table, ctx);
    });
  };
  apply(4, Submission("c-1"));
  CHECK(context.Sent<fenced_order>().empty());
  context.Do([&](auto& ctx) { server.OnQuery(kLink, {1, "engine-1", 3}, table, 4, ctx); });
  CHECK(context.Sent<fence_reply>().at(0).second.fence == 3);
  CHECK(context.Sent<fenced_order>().at(0).second.token == 4);
  apply(5, Submission("c-2"));
  CHECK(context.Sent<fenced_order>().empty());
  auto reply = [&](const char* backend) {
    order_reply done{backend, 4, order_status::kDone};
    context.Do([&](auto& ctx) { server.OnReply(done, table, log, ctx); });
  };
  reply("engine-2");
  CHECK(log.proposed.empty());
  reply("engine-1");
  reply("engine-1");
  REQUIRE(log.proposed.size() == 1);
  apply(6, log.proposed[0]);
  CHECK(context.Sent<fenced_order>().at(0).second.token == 5);
  context.Do([&](auto& ctx) { server.OnQuery({9}, {1, "engine-1", 2}, table, 6, ctx); });
  CHECK(context.Sent<fence_reply>().empty());
}

// Guards against a restarted agent that accepts an order from a previous leader.
TEST_CASE("an agent accepts no order before it knows the fence, and none up to it") {
  client_fixture f(true);
  f.ReceiveOrder(7);
  CHECK(f.CountStarted() == 0);
  f.ReceiveFence(7);
  f.ReceiveOrder(7);
  CHECK(f.CountStarted() == 0);
  CHECK(f.RepliedStatus() == order_status::kStaleToken);
  f.ReceiveOrder(8);
  CHECK(f.CountStarted() == 1);
  f.ReceiveOrder(8);
  CHECK(f.CountStarted() == 0);
  f.FinishCall(8, order_status::kDone);
  CHECK(f.RepliedStatus() == order_status::kDone);
  f.ReceiveOrder(8);
  CHECK(f.CountStarted() == 0);
  CHECK(f.RepliedStatus() == order_status::kDone);
  f.ReceiveOrder(9);
  f.ReceiveOrder(8);
  CHECK(f.RepliedStatus() == order_status::kStaleToken);
}

// Guards against an older order that takes effect after a newer one at an engine that ignores
// tokens.
TEST_CASE("an agent waits until earlier orders have settled at an engine that ignores tokens") {
  client_fixture f(false);
  f.ReceiveFence(7);
  f.ReceiveOrder(8);
  CHECK(f.CountStarted() == 0);
  f.Advance(std::chrono::milliseconds(4999));
  CHECK(f.CountStarted() == 0);
  f.Advance(std::chrono::milliseconds(1));
  CHECK(f.CountStarted() == 1);
  f.FinishCall(8, std::nullopt);
  CHECK(f.CountStarted() == 0);
  f.Advance(std::chrono::milliseconds(4999));
  CHECK(f.CountStarted() == 0);
  f.Advance(std::chrono::milliseconds(1));
  CHECK(f.CountStarted() == 1);
  f.Advance(std::chrono::seconds(10));
  CHECK(f.context.All<cancel_engine_order>().size() == 1);
  CHECK(f.CountStarted() == 0);
}

// Guards against entries that do not route requests for a new model to the engine that loaded it.
TEST_CASE("the effect of a completed order is announced") {
  fake_context context;
  announcer sender({}, {leader_address});
  context.Do([&](auto& ctx) { sender.Handle(process_started{}, ctx); });
  context.Do([&](auto& ctx) { sender.Handle(link_opened{kLink, {}, leader_address}, ctx); });
  auto finish = [&](order_kind kind, order_status status) {
    engine_order_finished e{{"engine-1", 1, kind, "x", 0}, status};
    context.Do([&](auto& ctx) { sender.Handle(e, ctx); });
    return context.Sent<announcement>();
  };
  CHECK(finish(order_kind::kLoadModel, order_status::kEngineFailed).empty());
  CHECK(finish(order_kind::kLoadModel, order_status::kDone).at(0).second.models.size() == 1);
  CHECK(finish(order_kind::kLoadModel, order_status::kDone).at(0).second.models.size() == 1);
  CHECK(finish(order_kind::kLoadAdapter, order_status::kDone).at(0).second.adapters.size() == 1);
  CHECK(finish(order_kind::kSetVersion, order_status::kDone).at(0).second.version == "x");
  CHECK(finish(order_kind::kChangeRole, order_status::kDone).at(0).second.engine_role == "x");
}

// Guards against an encoding that drops or swaps fields.
TEST_CASE("order messages survive encoding and decoding") {
  auto round_trip = [](const message& m) {
    std::string frame;
    REQUIRE_FALSE(EncodeFrame(m, frame));
    message out;
    REQUIRE_FALSE(DecodeFrame(std::string_view(frame).substr(kFramePrefixBytes), out));
    return out;
  };
  fenced_order order{"engine-1", 9, order_kind::kChangeRole, "prefill", 11};
  auto o = std::get<fenced_order>(round_trip(order));
  CHECK(o.backend == "engine-1");
  CHECK(o.token == 9);
  CHECK(o.kind == order_kind::kChangeRole);
  CHECK(o.name == "prefill");
  CHECK(o.bytes == 11);
  auto r = std::get<order_reply>(round_trip(order_reply{"e", 4, order_status::kEngineFailed}));
  CHECK(r.token == 4);
  CHECK(r.status == order_status::kEngineFailed);
  auto q = std::get<fence_query>(round_trip(fence_query{1, "e", 2}));
  CHECK(q.sequence == 1);
  CHECK(q.agent_incarnation == 2);
  auto f = std::get<fence_reply>(round_trip(fence_reply{1, 2, true, leader_address, 3}));
  CHECK(f.granted);
  CHECK(f.leader_hint == leader_address);
  CHECK(f.fence == 3);
}

// Guards against an order status that operators cannot look up.
TEST_CASE("every order status is in the catalogue") {
  std::ifstream file(std::string(SOURCE_DIR) + "/docs/errors.md");
  std::ostringstream page;
  page << file.rdbuf();
  for (std::size_t i = 0; i < kOrderStatusCount; ++i) {
    std::string row = "| " + std::string(ToString(static_cast<order_status>(i))) + " |";
    INFO(row);
    CHECK(page.str().find(row) != std::string::npos);
  }
}

}  // namespace radishroute
