#ifndef RADISHROUTE_ENGINE_ORDERS_H_
#define RADISHROUTE_ENGINE_ORDERS_H_

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "engine/event.h"

namespace radishroute {

/// Carries out fenced orders.
class order_book {
 public:
  /// With `checks_fencing`, an order with an older token than the newest seen is refused. With an
  /// empty set of models, requests for any model are served.
  order_book(bool checks_fencing, std::set<std::string> models)
      : checks_fencing_(checks_fencing), models_(std::move(models)) {}

  void Arrived(const order_arrived& e, engine_effects& effects);
  void Arrived(const weights_arrived& e, engine_effects& effects);

  bool Serves(const std::string& model) const { return models_.empty() || models_.contains(model); }
  const std::string& Role() const { return role_; }
  const std::string& Version() const { return version_; }

 private:
  bool Stale(std::uint64_t token) const { return checks_fencing_ && token < highest_token_; }
  void Apply(const engine_order& order);

  bool checks_fencing_;
  std::set<std::string> models_;
  std::set<std::string> adapters_;
  std::string version_;
  std::string role_;
  std::uint64_t highest_token_ = 0;
  std::unordered_map<exchange_id, engine_order> loading_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_ORDERS_H_
