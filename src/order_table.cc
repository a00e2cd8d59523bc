#include "radishroute/order_table.h"

#include <utility>

#include "radishroute/invariant.h"

namespace radishroute {

void order_table::Apply(const order_submission& submission, std::uint64_t token,
                        reduce_context& ctx) {
  if (token_by_change_id_.contains(submission.change_id)) return;
  bool increases = orders_.empty() || token > orders_.rbegin()->first;
  if (!CheckInvariant(increases, "fencing tokens of orders increase", ctx)) return;
  auto pending = pending_.find(submission.backend);
  bool full = pending != pending_.end() && pending->second.size() >= limits_.pending_per_backend;
  // Only ended orders can be dropped to make room for a new one.
  full = full || (orders_.size() >= limits_.orders && ended_.empty());
  // A refused order is kept too, so that a resend gets the same result.
  Insert({token, submission, full ? order_status::kQueueFull : order_status::kPending});
  Prune();
}

void order_table::Apply(const order_completion& completion, reduce_context&) {
  auto it = orders_.find(completion.token);
  if (it == orders_.end() || it->second.status != order_status::kPending) return;
  if (completion.status == order_status::kPending) return;
  it->second.status = completion.status;
  ended_.insert(completion.token);
  auto pending = pending_.find(it->second.order.backend);
  pending->second.erase(completion.token);
  if (pending->second.empty()) pending_.erase(pending);
  Prune();
}

void order_table::Insert(order_record record) {
  std::uint64_t token = record.token;
  token_by_change_id_[record.order.change_id] = token;
  if (record.status == order_status::kPending) {
    pending_[record.order.backend].insert(token);
  } else {
    ended_.insert(token);
  }
  orders_.emplace(token, std::move(record));
}

void order_table::Prune() {
  while (orders_.size() > limits_.orders && !ended_.empty()) {
    auto oldest = orders_.find(*ended_.begin());
    token_by_change_id_.erase(oldest->second.order.change_id);
    orders_.erase(oldest);
    ended_.erase(ended_.begin());
  }
}

const order_record* order_table::FindChange(const std::string& change_id) const {
  auto it = token_by_change_id_.find(change_id);
  return it == token_by_change_id_.end() ? nullptr : FindToken(it->second);
}

const order_record* order_table::FindToken(std::uint64_t token) const {
  auto it = orders_.find(token);
  return it == orders_.end() ? nullptr : &it->second;
}

const order_record* order_table::NextPending(const std::string& backend) const {
  auto it = pending_.find(backend);
  return it == pending_.end() ? nullptr : FindToken(*it->second.begin());
}

std::vector<order_record> order_table::Save() const {
  std::vector<order_record> saved;
  saved.reserve(orders_.size());
  for (const auto& [token, record] : orders_) saved.push_back(record);
  return saved;
}

bool order_table::Load(std::vector<order_record> orders) {
  *this = order_table(limits_);
  std::uint64_t last = 0;
  for (order_record& record : orders) {
    bool valid = record.token > last && !token_by_change_id_.contains(record.order.change_id);
    if (!valid) {
      *this = order_table(limits_);
      return false;
    }
    last = record.token;
    Insert(std::move(record));
  }
  return true;
}

}  // namespace radishroute
