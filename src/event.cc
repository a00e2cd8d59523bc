#include "radishroute/event.h"

namespace radishroute {

event::event(const event& other) = default;
event::event(event&& other) noexcept = default;
event& event::operator=(const event& other) = default;
event& event::operator=(event&& other) noexcept = default;
event::~event() = default;

}  // namespace radishroute
