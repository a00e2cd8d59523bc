#include "io/order_api.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "io/broken_response.h"

namespace radishroute {

namespace {

constexpr const char* kOrdersPath = "/v1/orders";

order_status StatusOf(unsigned http_status) {
  if (http_status >= 200 && http_status < 300) return order_status::kDone;
  if (http_status == 409) return order_status::kStaleToken;
  if (http_status == 502) return order_status::kWeightsUnavailable;
  if (http_status >= 400 && http_status < 500) return order_status::kRejectedByEngine;
  return order_status::kEngineFailed;
}

}  // namespace

order_api::order_api(io_loop& loop, endpoint engine, event_sink sink)
    : engine_(std::move(engine)),
      sink_(std::move(sink)),
      client_(loop, {[this](http_client::call_id call, unsigned status, const std::string&) {
                       if (call == call_) status_ = status;
                     },
                     [](http_client::call_id, std::string_view) {},
                     [this](http_client::call_id call, http_call_result result,
                            response_fault fault) { OnEnd(call, result, fault); }}) {}

void order_api::Execute(const start_engine_order& e) {
  if (call_ != 0) client_.Cancel(call_);
  order_ = e.order;
  status_ = 0;
  nlohmann::json body = {{"order", ToString(e.order.kind)},
                         {"token", e.order.token},
                         {"name", e.order.name},
                         {"bytes", e.order.bytes}};
  call_ = client_.Start(engine_, kOrdersPath, {}, body.dump());
}

void order_api::Execute(const cancel_engine_order& e) {
  if (call_ == 0 || order_.token != e.token) return;
  client_.Cancel(call_);
  call_ = 0;
}

void order_api::OnEnd(http_client::call_id call, http_call_result result, response_fault fault) {
  if (call != call_) return;
  call_ = 0;
  ReportBrokenResponse("order", std::to_string(order_.token), engine_, fault);
  engine_order_finished finished{order_, std::nullopt};
  if (result == http_call_result::kComplete) finished.status = StatusOf(status_);
  sink_(std::move(finished));
}

}  // namespace radishroute
