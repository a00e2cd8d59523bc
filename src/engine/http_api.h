#ifndef RADISHROUTE_ENGINE_HTTP_API_H_
#define RADISHROUTE_ENGINE_HTTP_API_H_

#include <optional>
#include <string>
#include <string_view>

#include "engine/event.h"
#include "io/http_server.h"

namespace radishroute {

enum class stand_in_kind : std::uint8_t { kEngine, kService, kWeights, kRank };

/// Maps a request to an event; nothing if the stand-in has no such path or the body is malformed.
std::optional<engine_event> ParseEngineRequest(const http_request& request, stand_in_kind kind);

/// Name of a fault as POST /v1/fault and --fault use it.
bool ParseFault(std::string_view name, engine_fault& out);

/// A complete response of a stand-in.
struct stand_in_response {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
};

stand_in_response Render(const respond_load& e);
stand_in_response Render(const respond_cache_events& e);
stand_in_response Render(const respond_kv_blocks& e);
stand_in_response Render(const respond_order& e);
stand_in_response Render(const respond_weights& e);
stand_in_response Render(const respond_service& e);
stand_in_response Render(const respond_runs& e);
stand_in_response Render(const respond_fault_set& e);
stand_in_response Render(const respond_unknown_model& e);

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_HTTP_API_H_
