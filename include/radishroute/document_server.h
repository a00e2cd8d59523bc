#ifndef RADISHROUTE_DOCUMENT_SERVER_H_
#define RADISHROUTE_DOCUMENT_SERVER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "radishroute/config.h"
#include "radishroute/document_event.h"
#include "radishroute/raft.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Handles operators' reads and changes of the configuration document on one controller. A read is
/// answered only once a majority has confirmed, after the read arrived, that this replica leads.
/// Documents are compressed in the log and on links; a log may also hold plain ones.
class document_server {
 public:
  /// Below the 1 s after which a caller tries another controller and ignores a later response.
  static constexpr std::chrono::milliseconds kReadTimeout{900};

  template <class Log>
  void OnSubmitted(const document_submitted& e, const config_document& config, Log& log,
                   reduce_context& ctx) {
    if (RefuseUnlessLeader(e.exchange, log.Core(), ctx)) return;
    if (e.version <= config.Version()) {
      Answer(e.exchange, document_status::kAccepted, config.Version(), ctx);
      return;
    }
    config_change change;
    if (auto error = MakeChange(e, change)) {
      LogUnreadable(e.version, error, ctx);
      Answer(e.exchange, document_status::kUnavailable, 0, ctx);
      return;
    }
    auto position = log.Propose(std::move(change), ctx);
    if (!position) {
      Answer(e.exchange, document_status::kUnavailable, 0, ctx);
      return;
    }
    changes_.emplace(position->index, pending_change{e.exchange, position->term, e.version});
  }

  template <class Log>
  void OnRequested(const document_requested& e, Log& log, reduce_context& ctx) {
    if (RefuseUnlessLeader(e.exchange, log.Core(), ctx)) return;
    reads_.push_back({e.exchange, ctx.now});
    log.RequestConfirmation(ctx);
    ctx.Emit(schedule_wakeup{ctx.now + kReadTimeout});
  }

  /// Returns the change that puts a document into the log, compressed. Error: kCompressionFailed.
  static std::error_code MakeChange(const document_submitted& e, config_change& out);

  /// Must be called after each event.
  void OnProgress(const raft_core& core, const config_document& config, reduce_context& ctx);

 private:
  struct pending_change {
    exchange_id exchange;
    std::uint64_t term = 0;
    std::uint64_t version = 0;
  };
  struct pending_read {
    exchange_id exchange;
    steady_time arrived;
  };

  static bool RefuseUnlessLeader(exchange_id exchange, const raft_core& core, reduce_context& ctx);
  static void LogUnreadable(std::uint64_t version, std::error_code error, reduce_context& ctx);
  static void Answer(exchange_id exchange, document_status status, std::uint64_t version,
                     reduce_context& ctx);

  /// Keyed by log index.
  std::multimap<std::uint64_t, pending_change> changes_;
  std::vector<pending_read> reads_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_DOCUMENT_SERVER_H_
