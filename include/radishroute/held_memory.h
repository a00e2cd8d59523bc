#ifndef RADISHROUTE_HELD_MEMORY_H_
#define RADISHROUTE_HELD_MEMORY_H_

#include <cstddef>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/http_header.h"

namespace radishroute {

/// Capacity for `needed` bytes that a string of `capacity` grows to: a quarter more, at most
/// `highest`. std::string itself doubles, so a body of 4 MiB could take 8.
std::size_t GrownCapacity(std::size_t capacity, std::size_t needed,
                          std::size_t highest = std::numeric_limits<std::size_t>::max());

/// Gives a string exactly this capacity if it is more than it has.
void GrowTo(std::string& out, std::size_t capacity);

/// Appends with growth by `GrownCapacity`.
void AppendGrowingSlowly(std::string& out, std::string_view bytes);

/// Empties a string and frees its memory, which assigning an empty one does not do.
void FreeString(std::string& text);

/// Memory of headers.
std::size_t HeldBytes(const std::vector<http_header>& headers);

}  // namespace radishroute

#endif  // RADISHROUTE_HELD_MEMORY_H_
