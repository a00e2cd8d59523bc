#ifndef RADISHROUTE_TESTS_FAKE_CONTEXT_H_
#define RADISHROUTE_TESTS_FAKE_CONTEXT_H_

#include <utility>
#include <vector>

#include "radishroute/reduce_context.h"

namespace radishroute {

/// Manual clock, random numbers and effects of the last call, for tests of a single module.
class fake_context {
 public:
  /// Calls `handle` with a context and returns the resulting effects.
  template <class Handle>
  const effect_list& Do(Handle&& handle) {
    effects_.clear();
    reduce_context ctx{clock_.Now(), clock_.WallNow(), random_, effects_};
    handle(ctx);
    return effects_;
  }

  void Advance(std::chrono::milliseconds by) { clock_.Advance(by); }
  steady_time Now() const { return clock_.Now(); }

  /// Effects of type E in the last call.
  template <class E>
  std::vector<E> All() const {
    std::vector<E> found;
    for (const effect& one : effects_) {
      if (const E* e = std::get_if<E>(&one)) found.push_back(*e);
    }
    return found;
  }

  /// Messages of type M sent in the last call.
  template <class M>
  std::vector<std::pair<link_id, M>> Sent() const {
    std::vector<std::pair<link_id, M>> found;
    for (const auto& sent : All<send_message>()) {
      if (const M* m = std::get_if<M>(&sent.body)) found.emplace_back(sent.link, *m);
    }
    return found;
  }

 private:
  manual_clock clock_;
  random_source random_{1};
  effect_list effects_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_TESTS_FAKE_CONTEXT_H_
