#include "radishroute/reducer.h"

#include <type_traits>
#include <variant>

#include "radishroute/policies.h"

namespace radishroute {

namespace {

// Passes an event to a module if the module exists on this thread and handles that event type.
template <class Module, class Event>
void HandleEvent(std::optional<Module>& module, const Event& e, reduce_context& ctx) {
  if constexpr (requires(Module m) { m.Handle(e, ctx); }) {
    if (module) module->Handle(e, ctx);
  }
}

template <class Module, class Message>
void HandleMessage(std::optional<Module>& module, link_id link, const Message& m,
                   reduce_context& ctx) {
  if constexpr (requires(Module mod) { mod.Handle(link, m, ctx); }) {
    if (module) module->Handle(link, m, ctx);
  }
}

template <class State, class Visitor>
void ForEachModule(State& state, Visitor&& visit) {
  visit(state.control.backends);
  visit(state.control.announcements);
  visit(state.control.log);
  visit(state.control.config);
  visit(state.control.orders);
  visit(state.control.rank);
  visit(state.control.engine);
  visit(state.control.crashes);
  visit(state.traffic.requests);
  visit(state.traffic.executions);
  visit(state.traffic.forwarding);
  visit(state.links);
}

}  // namespace

template <policy_set P>
void Reduce(thread_state<P>& state, const event& e, reduce_context& ctx) {
  std::visit(
      [&](const auto& specific) {
        using event_type = std::decay_t<decltype(specific)>;
        if constexpr (std::is_same_v<event_type, message_received>) {
          std::visit(
              [&](const auto& m) {
                ForEachModule(state,
                              [&](auto& module) { HandleMessage(module, specific.link, m, ctx); });
              },
              specific.body);
          HandleEvent(state.links, specific, ctx);
        } else {
          ForEachModule(state, [&](auto& module) { HandleEvent(module, specific, ctx); });
        }
      },
      e);
  if (state.links) state.links->RecordSentMessages(ctx);
}

#define RADISHROUTE_INSTANTIATE(P) \
  template void Reduce<P>(thread_state<P>&, const event&, reduce_context&);
RADISHROUTE_FOR_EACH_POLICY_SET(RADISHROUTE_INSTANTIATE)
#undef RADISHROUTE_INSTANTIATE

}  // namespace radishroute
