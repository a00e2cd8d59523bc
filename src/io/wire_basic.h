#ifndef RADISHROUTE_IO_WIRE_BASIC_H_
#define RADISHROUTE_IO_WIRE_BASIC_H_

#include <chrono>
#include <cstdint>
#include <type_traits>
#include <vector>

#include "radishroute/message.h"
#include "wire_types.h"

namespace radishroute {

// Thrift has signed integers only; these casts keep the bits.
constexpr std::int64_t Signed(std::uint64_t v) { return static_cast<std::int64_t>(v); }
constexpr std::uint64_t Unsigned(std::int64_t v) { return static_cast<std::uint64_t>(v); }
constexpr std::int32_t Signed(std::uint32_t v) { return static_cast<std::int32_t>(v); }
constexpr std::uint32_t Unsigned(std::int32_t v) { return static_cast<std::uint32_t>(v); }

template <class Enum>
std::int32_t EnumToWire(Enum e) {
  return static_cast<std::int32_t>(e);
}

/// Converts a wire value to an enum whose last enumerator is `last`; sets `ok` to false if the
/// value is out of range.
template <class Enum>
Enum EnumFromWire(std::int32_t v, Enum last, bool& ok) {
  if (v < 0 || v > static_cast<std::int32_t>(last)) {
    ok = false;
    return Enum{};
  }
  return static_cast<Enum>(v);
}

template <class Duration>
std::int64_t MicrosToWire(Duration d) {
  return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
}

/// Appends `convert(element)` for each element of `from` to `to`.
template <class From, class To, class Convert>
void ConvertList(const std::vector<From>& from, std::vector<To>& to, Convert convert) {
  to.reserve(from.size());
  for (const From& item : from) to.push_back(convert(item));
}

/// Appends the wire form of each element of `from` to `to`.
template <class From, class To>
void ListToWire(const std::vector<From>& from, std::vector<To>& to) {
  ConvertList(from, to, [](const From& item) { return ToWire(item); });
}

inline wire::ProcessId ToWire(const process_id& id) {
  wire::ProcessId w;
  w.node = Signed(id.node);
  w.incarnation = Signed(id.incarnation);
  return w;
}

inline process_id FromWire(const wire::ProcessId& w, bool&) {
  return {Unsigned(w.node), Unsigned(w.incarnation)};
}

inline wire::Endpoint ToWire(const endpoint& e) {
  wire::Endpoint w;
  w.host = e.host;
  w.port = e.port;
  return w;
}

inline endpoint FromWire(const wire::Endpoint& w, bool& ok) {
  if (w.port < 0 || w.port > 65535) ok = false;
  return {w.host, static_cast<std::uint16_t>(w.port)};
}

inline wire::Hello ToWire(const hello& m) {
  wire::Hello w;
  w.protocolVersion = Signed(m.protocol_version);
  w.process = ToWire(m.process);
  w.role = EnumToWire(m.role);
  w.nodeName = m.node_name;
  w.zone = m.zone;
  w.secret = m.secret;
  return w;
}

inline hello FromWire(const wire::Hello& w, bool& ok) {
  hello m;
  m.protocol_version = Unsigned(w.protocolVersion);
  m.process = FromWire(w.process, ok);
  m.role = EnumFromWire(w.role, process_role::kOperator, ok);
  m.node_name = w.nodeName;
  m.zone = w.zone;
  m.secret = w.secret;
  return m;
}

inline wire::Heartbeat ToWire(const heartbeat& m) {
  wire::Heartbeat w;
  w.sequence = Signed(m.sequence);
  return w;
}

inline heartbeat FromWire(const wire::Heartbeat& w, bool&) { return {Unsigned(w.sequence)}; }

}  // namespace radishroute

#endif  // RADISHROUTE_IO_WIRE_BASIC_H_
