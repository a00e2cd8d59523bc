#include "cli/admin.h"

#include <utility>

#include "io/metrics.h"

namespace radishroute {

admin_api::admin_api(io_loop& loop, handler extra)
    : extra_(std::move(extra)),
      server_(loop, http_server_settings({std::string("authorization")}),
              {[this](http_request&& request) { OnRequest(request); }, nullptr, nullptr, nullptr}) {
}

void admin_api::OnRequest(const http_request& request) {
  if (request.method == "GET" && request.path == "/metrics") {
    server_.Respond(request.exchange, 200, "text/plain; version=0.0.4", {}, RenderMetrics());
    return;
  }
  if (extra_ && extra_(request, server_)) return;
  server_.Respond(request.exchange, 404, "text/plain", {}, "no such path\n");
}

}  // namespace radishroute
