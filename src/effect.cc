#include "radishroute/effect.h"

namespace radishroute {

effect::effect(const effect& other) = default;
effect::effect(effect&& other) noexcept = default;
effect& effect::operator=(const effect& other) = default;
effect& effect::operator=(effect&& other) noexcept = default;
effect::~effect() = default;

}  // namespace radishroute
