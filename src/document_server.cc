#include "radishroute/document_server.h"

#include <array>

#include "radishroute/compression.h"

namespace radishroute {

std::string_view ToString(document_status status) {
  constexpr std::array<std::string_view, 4> kNames = {"accepted", "found", "redirected",
                                                      "unavailable"};
  return kNames[static_cast<std::size_t>(status)];
}

void document_server::Answer(exchange_id exchange, document_status status, std::uint64_t version,
                             reduce_context& ctx) {
  document_answered answer;
  answer.exchange = exchange;
  answer.status = status;
  answer.version = version;
  ctx.Emit(std::move(answer));
}

void document_server::LogUnreadable(std::uint64_t version, std::error_code error,
                                    reduce_context& ctx) {
  ctx.Emit(write_log{{event_code::kDeploymentRejected,
                      log_level::kError,
                      {{"version", std::to_string(version)}, {"error", error.message()}}}});
}

std::error_code document_server::MakeChange(const document_submitted& e, config_change& out) {
  out.base_version = e.version;
  out.change_id = "v" + std::to_string(e.version);
  out.precedence = config_precedence::kHighestVersion;
  return Compress(e.text, out.sheet);
}

bool document_server::RefuseUnlessLeader(exchange_id exchange, const raft_core& core,
                                         reduce_context& ctx) {
  if (core.Role() == raft_role::kLeader && !core.Failure()) return false;
  document_answered answer;
  answer.exchange = exchange;
  answer.leader = core.LeaderAddress();
  bool leader_known = !answer.leader.host.empty();
  answer.status = leader_known ? document_status::kRedirected : document_status::kUnavailable;
  ctx.Emit(std::move(answer));
  return true;
}

void document_server::OnProgress(const raft_core& core, const config_document& config,
                                 reduce_context& ctx) {
  bool is_leader = core.Role() == raft_role::kLeader && !core.Failure();
  while (!changes_.empty()) {
    const auto& [index, change] = *changes_.begin();
    if (is_leader && change.term == core.Term() && index > core.AppliedIndex()) break;
    // Only this leader appends entries of its term, so the entry applied at `index` is the change.
    bool applied = change.term == core.Term() && index <= core.AppliedIndex();
    bool in_force = applied && config.Version() >= change.version;
    Answer(change.exchange, in_force ? document_status::kAccepted : document_status::kUnavailable,
           config.Version(), ctx);
    changes_.erase(changes_.begin());
  }
  std::erase_if(reads_, [&](const pending_read& read) {
    bool confirmed = is_leader && core.IsReadyLeader(ctx.now) &&
                     core.LeadershipConfirmedAt(ctx.now) >= read.arrived;
    if (confirmed && config.Version() > 0) {
      document_answered answer;
      answer.exchange = read.exchange;
      answer.status = document_status::kFound;
      answer.version = config.Version();
      if (auto error = Decompress(config.Sheet(), answer.text)) {
        LogUnreadable(config.Version(), error, ctx);
        answer.status = document_status::kUnavailable;
      }
      ctx.Emit(std::move(answer));
      return true;
    }
    bool waits = is_leader && !confirmed && ctx.now - read.arrived < kReadTimeout;
    if (!waits) Answer(read.exchange, document_status::kUnavailable, 0, ctx);
    return !waits;
  });
}

}  // namespace radishroute
