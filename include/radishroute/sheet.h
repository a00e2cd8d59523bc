#ifndef RADISHROUTE_SHEET_H_
#define RADISHROUTE_SHEET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/routing_table.h"
#include "radishroute/types.h"

namespace radishroute {

/// Number of requests of one kind that the planners expect in one hour of the day.
struct expected_work {
  std::string kind;
  std::uint32_t hour = 0;
  std::uint32_t requests = 0;
};

/// The planners' sheet: kinds of work, Members, guaranteed shares and expected work.
struct work_sheet {
  std::vector<work_kind> kinds;
  std::vector<member_config> members;
  /// Guaranteed share of each priority class, in percent of a backend server's capacity.
  class_shares floor_percent{};
  std::vector<expected_work> work;
};

/// One error in a sheet.
struct sheet_error {
  /// Row number as in a spreadsheet: the header is row 1. 0 means the whole sheet.
  std::size_t row = 0;
  std::string column;
  std::string expected;
};

/// Parses a sheet in the CSV format described in docs/operators.md. Appends every error found to
/// `errors`; the result is usable only if there is none.
work_sheet ParseSheet(std::string_view csv, std::vector<sheet_error>& errors);

}  // namespace radishroute

#endif  // RADISHROUTE_SHEET_H_
