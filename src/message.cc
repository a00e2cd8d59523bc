#include "radishroute/message.h"

namespace radishroute {

message::message(const message& other) = default;
message::message(message&& other) noexcept = default;
message& message::operator=(const message& other) = default;
message& message::operator=(message&& other) noexcept = default;
message::~message() = default;

}  // namespace radishroute
