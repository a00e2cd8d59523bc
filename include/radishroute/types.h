#ifndef RADISHROUTE_TYPES_H_
#define RADISHROUTE_TYPES_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace radishroute {

/// Priority class of a request, most urgent first.
enum class priority_class : std::uint8_t { kInteractive, kTransactional, kBatch };

inline constexpr std::size_t kPriorityClassCount = 3;
inline constexpr std::array<priority_class, kPriorityClassCount> kPriorityClasses = {
    priority_class::kInteractive, priority_class::kTransactional, priority_class::kBatch};

/// Index of a priority class in per-class arrays.
constexpr std::size_t ClassIndex(priority_class c) { return static_cast<std::size_t>(c); }

std::string_view ToString(priority_class c);

/// One share per priority class, in percent of a backend server's capacity.
using class_shares = std::array<std::uint32_t, kPriorityClassCount>;

/// Kind of process.
enum class process_role : std::uint8_t { kEntry, kAgent, kController, kOperator };

std::string_view ToString(process_role role);

/// One run of a process. `incarnation` increases with each restart.
struct process_id {
  std::uint64_t node = 0;
  std::uint64_t incarnation = 0;
  auto operator<=>(const process_id&) const = default;
};

/// Identity of a caller's request. `origin` is drawn at random at process start, so no other
/// process and no earlier incarnation of this one uses it.
struct request_id {
  std::uint64_t origin = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const request_id&) const = default;
};

/// One attempt to run a request on one backend server.
struct dispatch_id {
  request_id request;
  std::uint32_t attempt = 0;
  auto operator<=>(const dispatch_id&) const = default;
};

/// Hash of Member and request content; equal when a request is sent again.
struct fingerprint {
  std::uint64_t value = 0;
  auto operator<=>(const fingerprint&) const = default;
};

/// A connection between two processes of the system; valid within one event loop.
struct link_id {
  std::uint64_t value = 0;
  auto operator<=>(const link_id&) const = default;
};

/// A caller's HTTP request and its response; valid within one event loop.
struct exchange_id {
  std::uint64_t value = 0;
  auto operator<=>(const exchange_id&) const = default;
};

/// An IPv4 address and port to connect to or to listen on.
struct endpoint {
  std::string host;
  std::uint16_t port = 0;
  // clang-tidy 14 mistakes the 0 in a rewritten comparison for a null pointer.
  auto operator<=>(const endpoint&) const = default;  // NOLINT(modernize-use-nullptr)
};

std::string ToString(const endpoint& e);
std::string ToString(const request_id& id);

/// 64-bit hash (XXH3) that is the same in every process.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Transparent hash: allows lookup by string_view in a string-keyed map without allocation.
struct string_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const noexcept {
    return std::hash<std::string_view>()(text);
  }
};

template <class T>
using string_map = std::unordered_map<std::string, T, string_hash, std::equal_to<>>;

}  // namespace radishroute

template <>
struct std::hash<radishroute::request_id> {
  std::size_t operator()(const radishroute::request_id& id) const noexcept {
    return id.origin ^ (id.sequence * 0x9E3779B97F4A7C15ULL);
  }
};

template <>
struct std::hash<radishroute::dispatch_id> {
  std::size_t operator()(const radishroute::dispatch_id& id) const noexcept {
    return std::hash<radishroute::request_id>()(id.request) + id.attempt;
  }
};

template <>
struct std::hash<radishroute::link_id> {
  std::size_t operator()(const radishroute::link_id& id) const noexcept { return id.value; }
};

template <>
struct std::hash<radishroute::exchange_id> {
  std::size_t operator()(const radishroute::exchange_id& id) const noexcept { return id.value; }
};

template <>
struct std::hash<radishroute::fingerprint> {
  std::size_t operator()(const radishroute::fingerprint& f) const noexcept { return f.value; }
};

#endif  // RADISHROUTE_TYPES_H_
