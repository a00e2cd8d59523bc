#include "radishroute/held_memory.h"

#include <algorithm>
#include <utility>

namespace radishroute {

namespace {

// Strings that are built byte by byte are not copied at each of them.
constexpr std::size_t kLeastGrowth = 4096;

}  // namespace

std::size_t GrownCapacity(std::size_t capacity, std::size_t needed, std::size_t highest) {
  if (needed <= capacity) return capacity;
  std::size_t grown = capacity + std::max(capacity / 4, kLeastGrowth);
  return std::max(needed, std::min(grown, highest));
}

// A new string takes just the memory that it reserves; an old one at least doubles.
void GrowTo(std::string& out, std::size_t capacity) {
  if (capacity <= out.capacity()) return;
  std::string grown;
  grown.reserve(capacity);
  grown.append(out);
  out = std::move(grown);
}

void AppendGrowingSlowly(std::string& out, std::string_view bytes) {
  // The first message of a connection is often its longest.
  std::size_t needed = out.size() + bytes.size();
  GrowTo(out, out.empty() ? needed : GrownCapacity(out.capacity(), needed));
  out.append(bytes);
}

void FreeString(std::string& text) { std::string().swap(text); }

std::size_t HeldBytes(const std::vector<http_header>& headers) {
  std::size_t bytes = headers.capacity() * sizeof(http_header);
  for (const http_header& header : headers) {
    bytes += header.name.capacity() + header.value.capacity();
  }
  return bytes;
}

}  // namespace radishroute
