#include "radishroute/crash_attribution.h"

#include <algorithm>

namespace radishroute {

namespace {

using std::chrono::milliseconds;

// Crashes kept per content; more than any threshold.
constexpr std::size_t kMaxCrashes = 8;

// A success that is newer than the known one by less than this changes nothing unless a crash lies
// between them.
constexpr milliseconds kSuccessResolution{1000};

milliseconds Age(steady_time at, steady_time now) {
  return std::max(std::chrono::duration_cast<milliseconds>(now - at), milliseconds(0));
}

}  // namespace

std::size_t crash_attribution::record::OpenCrashes() const {
  if (!last_success) return crashes.size();
  auto first_open = std::upper_bound(crashes.begin(), crashes.end(), *last_success);
  return static_cast<std::size_t>(crashes.end() - first_open);
}

void crash_attribution::DropExpired(steady_time now) {
  for (bool open : {false, true}) {
    auto oldest = by_use_.lower_bound({open, steady_time::min(), {}});
    while (oldest != by_use_.end() && oldest->has_open_crashes == open &&
           oldest->last_used + limits_.retention <= now) {
      records_.erase(oldest->content);
      oldest = by_use_.erase(oldest);
    }
  }
}

template <class Change>
void crash_attribution::Update(fingerprint content, steady_time now, Change change) {
  DropExpired(now);
  auto it = records_.find(content);
  if (it != records_.end()) {
    by_use_.erase(KeyOf(content, it->second));
  } else {
    while (records_.size() >= limits_.max_contents) {
      records_.erase(by_use_.begin()->content);
      by_use_.erase(by_use_.begin());
    }
    it = records_.emplace(content, record{}).first;
  }
  change(it->second);
  it->second.last_used = now;
  by_use_.insert(KeyOf(content, it->second));
}

const crash_attribution::record* crash_attribution::Find(fingerprint content,
                                                         steady_time now) const {
  auto it = records_.find(content);
  bool found = it != records_.end() && now - it->second.last_used < limits_.retention;
  return found ? &it->second : nullptr;
}

// Returns whether the crash was new and is not refuted by a later success.
bool crash_attribution::AddCrash(fingerprint content, steady_time at, steady_time now) {
  if (now - at >= limits_.retention) return false;
  bool is_new = false;
  Update(content, now, [&](record& r) {
    bool known = std::any_of(r.crashes.begin(), r.crashes.end(), [&](steady_time other) {
      return std::chrono::abs(other - at) < limits_.crash_interval;
    });
    if (known) return;
    r.crashes.insert(std::upper_bound(r.crashes.begin(), r.crashes.end(), at), at);
    if (r.crashes.size() > kMaxCrashes) r.crashes.erase(r.crashes.begin());
    is_new = !r.last_success || *r.last_success < at;
  });
  return is_new;
}

// Returns whether the success changes what is concluded from the known crashes.
bool crash_attribution::AddSuccess(fingerprint content, steady_time at, steady_time now) {
  if (now - at >= limits_.retention) return false;
  const record* known = Find(content, now);
  if (known != nullptr && known->last_success && known->OpenCrashes() == 0 &&
      at - *known->last_success < kSuccessResolution) {
    return false;
  }
  bool is_relevant = false;
  Update(content, now, [&](record& r) {
    std::size_t open = r.OpenCrashes();
    bool first = !r.last_success;
    r.last_success = std::max(r.last_success.value_or(at), at);
    is_relevant = open > 0 && (first || r.OpenCrashes() != open);
  });
  return is_relevant;
}

crash_evidence crash_attribution::OnSuccess(const suspect_content& content, steady_time now) {
  crash_evidence evidence;
  // A request is rarely sent again, so only those that were charged are recorded.
  if (Find(content.request, now) != nullptr && AddSuccess(content.request, now, now)) {
    evidence.successes.push_back({content.request, {}});
  }
  for (fingerprint part : content.prompt_parts) {
    if (AddSuccess(part, now, now)) evidence.successes.push_back({part, {}});
  }
  return evidence;
}

crash_evidence crash_attribution::OnCrash(const suspect_content& content, steady_time now) {
  crash_evidence evidence;
  if (AddCrash(content.request, now, now)) evidence.crashes.push_back({content.request, {}});
  for (fingerprint part : content.prompt_parts) {
    if (AddCrash(part, now, now)) evidence.crashes.push_back({part, {}});
  }
  crash_evidence known = KnownSuccesses(evidence, now);
  evidence.successes = std::move(known.successes);
  return evidence;
}

crash_evidence crash_attribution::Merge(const crash_evidence& evidence, steady_time now) {
  crash_evidence added;
  // Successes first: a crash that they refute need not be passed on.
  for (const content_observation& o : evidence.successes) {
    if (AddSuccess(o.content, now - o.age, now)) added.successes.push_back(o);
  }
  for (const content_observation& o : evidence.crashes) {
    if (!AddCrash(o.content, now - o.age, now)) continue;
    added.crashes.push_back(o);
    auto reported =
        std::find_if(evidence.successes.begin(), evidence.successes.end(),
                     [&](const content_observation& s) { return s.content == o.content; });
    if (reported != evidence.successes.end()) added.successes.push_back(*reported);
  }
  return added;
}

crash_evidence crash_attribution::KnownSuccesses(const crash_evidence& evidence,
                                                 steady_time now) const {
  crash_evidence known;
  for (const content_observation& o : evidence.crashes) {
    const record* r = Find(o.content, now);
    if (r == nullptr || !r->last_success) continue;
    milliseconds age = Age(*r->last_success, now);
    bool reported = std::any_of(evidence.successes.begin(), evidence.successes.end(),
                                [&](const content_observation& s) {
                                  return s.content == o.content && (s.age <= o.age || age > o.age);
                                });
    if (!reported) known.successes.push_back({o.content, age});
  }
  return known;
}

std::optional<milliseconds> crash_attribution::QuarantinedFor(fingerprint content,
                                                              steady_time now) const {
  const record* r = Find(content, now);
  if (r == nullptr || r->crashes.empty()) return std::nullopt;
  std::size_t limit = r->last_success ? limits_.crashes_after_success : limits_.crashes;
  auto left = limits_.retention - Age(r->crashes.back(), now);
  if (r->OpenCrashes() < limit || left.count() <= 0) return std::nullopt;
  return left;
}

std::optional<milliseconds> crash_attribution::QuarantinedFor(const suspect_content& content,
                                                              steady_time now) const {
  std::optional<milliseconds> longest = QuarantinedFor(content.request, now);
  for (fingerprint part : content.prompt_parts) {
    longest = std::max(longest, QuarantinedFor(part, now));
  }
  return longest;
}

bool crash_attribution::IsTrusted(const suspect_content& content, steady_time now) const {
  const record* request = Find(content.request, now);
  if (request != nullptr && request->OpenCrashes() > 1) return false;
  return std::all_of(content.prompt_parts.begin(), content.prompt_parts.end(),
                     [&](fingerprint part) {
                       const record* r = Find(part, now);
                       return r != nullptr && r->last_success;
                     });
}

crash_evidence crash_attribution::Snapshot(steady_time now) const {
  crash_evidence evidence;
  // The most recently used first, as there may be more than fit into one message.
  for (auto it = by_use_.rbegin(); it != by_use_.rend(); ++it) {
    if (!it->has_open_crashes) break;
    const record* r = Find(it->content, now);
    if (r == nullptr) continue;
    if (evidence.crashes.size() + r->crashes.size() > limits_.max_reported) break;
    for (steady_time at : r->crashes) evidence.crashes.push_back({it->content, Age(at, now)});
    if (r->last_success) evidence.successes.push_back({it->content, Age(*r->last_success, now)});
  }
  return evidence;
}

}  // namespace radishroute
