#include "load/record.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace radishroute {

void WriteRecord(std::ostream& out, const load_record& record) {
  nlohmann::json line = {{"number", record.number},
                         {"kind", record.kind},
                         {"member", record.member},
                         {"class", ToString(record.cls)},
                         {"key", record.idempotency_key},
                         {"planned_us", record.planned.count()},
                         {"first_byte_us", record.first_byte.count()},
                         {"latency_us", record.latency.count()},
                         {"outcome", ToString(record.outcome)},
                         {"reason", record.reason},
                         {"attempts", record.attempts},
                         {"moved_unreachable", record.moved_unreachable},
                         {"moved_draining", record.moved_draining},
                         {"claimed_not_run", record.claimed_not_run}};
  out << line.dump() << "\n";
}

bool ReadRecord(const std::string& text, load_record& out) {
  nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
  if (!line.is_object()) return false;
  for (const char* key : {"number", "kind", "member", "key", "outcome", "claimed_not_run"}) {
    if (!line.contains(key)) return false;
  }
  out.number = line["number"].get<std::uint64_t>();
  out.kind = line["kind"].get<std::string>();
  out.member = line["member"].get<std::string>();
  out.idempotency_key = line["key"].get<std::string>();
  out.reason = line.value("reason", "");
  out.attempts = line.value("attempts", 0U);
  out.claimed_not_run = line["claimed_not_run"].get<bool>();
  return ParseLoadOutcome(line["outcome"].get<std::string>(), out.outcome);
}

}  // namespace radishroute
