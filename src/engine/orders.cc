#include "engine/orders.h"

#include <algorithm>
#include <utility>

namespace radishroute {

void order_book::Arrived(const order_arrived& e, engine_effects& effects) {
  exchange_id exchange = e.caller.exchange;
  if (Stale(e.order.fencing_token)) {
    effects.emplace_back(respond_order{exchange, order_result::kStaleToken, highest_token_});
    return;
  }
  highest_token_ = std::max(highest_token_, e.order.fencing_token);
  bool loads = e.order.kind == order_kind::kLoadModel || e.order.kind == order_kind::kLoadAdapter;
  if (loads && e.order.weight_bytes > 0) {
    loading_[exchange] = e.order;
    effects.emplace_back(fetch_weights{exchange, e.order.weight_bytes});
    return;
  }
  Apply(e.order);
  effects.emplace_back(respond_order{exchange, order_result::kApplied, highest_token_});
}

void order_book::Arrived(const weights_arrived& e, engine_effects& effects) {
  auto it = loading_.find(e.exchange);
  if (it == loading_.end()) return;
  engine_order order = std::move(it->second);
  loading_.erase(it);
  order_result result = order_result::kApplied;
  // A newer order may have arrived while the weights were on their way.
  if (Stale(order.fencing_token)) {
    result = order_result::kStaleToken;
  } else if (!e.loaded) {
    result = order_result::kWeightsUnavailable;
  } else {
    Apply(order);
  }
  effects.emplace_back(respond_order{e.exchange, result, highest_token_});
}

void order_book::Apply(const engine_order& order) {
  switch (order.kind) {
    case order_kind::kLoadModel:
      if (!models_.empty()) models_.insert(order.name);
      return;
    case order_kind::kLoadAdapter:
      adapters_.insert(order.name);
      return;
    case order_kind::kSetVersion:
      version_ = order.name;
      return;
    case order_kind::kChangeRole:
      role_ = order.name;
      return;
  }
}

}  // namespace radishroute
