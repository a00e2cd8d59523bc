#include "radishroute/sheet.h"

#include <csv.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <set>

namespace radishroute {

namespace {

using csv_row = std::vector<std::string>;

struct csv_rows {
  std::vector<csv_row> rows;
  csv_row current;
};

void OnField(void* data, std::size_t length, void* user) {
  static_cast<csv_rows*>(user)->current.emplace_back(static_cast<const char*>(data), length);
}

void OnRow(int, void* user) {
  auto* rows = static_cast<csv_rows*>(user);
  rows->rows.push_back(std::move(rows->current));
  rows->current.clear();
}

std::optional<std::vector<csv_row>> ReadCsv(std::string_view text) {
  csv_parser parser;
  if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_EMPTY_IS_NULL) != 0) {
    return std::nullopt;
  }
  csv_rows rows;
  bool ok = csv_parse(&parser, text.data(), text.size(), OnField, OnRow, &rows) == text.size() &&
            csv_fini(&parser, OnField, OnRow, &rows) == 0;
  csv_free(&parser);
  if (!ok) return std::nullopt;
  return std::move(rows.rows);
}

/// Reads the cells of one row by column name and reports invalid ones.
class row_reader {
 public:
  row_reader(const std::map<std::string, std::size_t>& columns, const csv_row& row,
             std::size_t number, std::vector<sheet_error>& errors)
      : columns_(columns), row_(row), number_(number), errors_(errors) {}

  std::string Text(const std::string& column) {
    std::string value = Cell(column);
    if (value.empty()) Report(column, "a name");
    return value;
  }

  std::uint32_t Number(const std::string& column, std::uint32_t lowest, std::uint32_t highest) {
    std::string value = Cell(column);
    std::uint32_t number = 0;
    auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc() || end != value.data() + value.size() || number < lowest ||
        number > highest) {
      Report(column,
             "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest));
    }
    return number;
  }

  std::size_t Choice(const std::string& column, const std::vector<std::string>& choices) {
    auto it = std::find(choices.begin(), choices.end(), Cell(column));
    if (it != choices.end()) return static_cast<std::size_t>(it - choices.begin());
    std::string expected = "one of:";
    for (const std::string& choice : choices) expected += " " + choice;
    Report(column, expected);
    return 0;
  }

  void Report(const std::string& column, std::string expected) {
    errors_.push_back({number_, column, std::move(expected)});
  }

 private:
  std::string Cell(const std::string& column) const {
    auto it = columns_.find(column);
    return it == columns_.end() || it->second >= row_.size() ? "" : row_[it->second];
  }

  const std::map<std::string, std::size_t>& columns_;
  const csv_row& row_;
  std::size_t number_;
  std::vector<sheet_error>& errors_;
};

constexpr std::array<const char*, 10> kColumns = {"table", "name",    "class",  "deadline_ms",
                                                  "worth", "repeat",  "weight", "floor_percent",
                                                  "hour",  "requests"};

constexpr std::array<const char*, kPriorityClassCount> kClassNames = {"interactive",
                                                                      "transactional", "batch"};

std::vector<std::string> ClassNames() { return {kClassNames.begin(), kClassNames.end()}; }

// 36 h, since batch work submitted in the evening is due by the next morning.
constexpr std::uint32_t kMaxDeadlineMillis = 36 * 3600 * 1000;

void ReadRow(row_reader& row, work_sheet& sheet) {
  switch (row.Choice("table", {"class", "kind", "member", "work"})) {
    case 0: {
      std::size_t cls = row.Choice("class", ClassNames());
      sheet.floor_percent[cls] = row.Number("floor_percent", 0, 100);
      return;
    }
    case 1: {
      work_kind kind;
      kind.name = row.Text("name");
      kind.cls = kPriorityClasses[row.Choice("class", ClassNames())];
      kind.deadline = std::chrono::milliseconds(row.Number("deadline_ms", 1, kMaxDeadlineMillis));
      kind.worth = row.Number("worth", 1, 1000000);
      kind.repeatable = row.Choice("repeat", {"no", "yes"}) == 1;
      sheet.kinds.push_back(std::move(kind));
      return;
    }
    case 2:
      sheet.members.push_back({row.Text("name"), row.Number("weight", 1, 1000000)});
      return;
    default: {
      expected_work work;
      work.kind = row.Text("name");
      work.hour = row.Number("hour", 0, 23);
      work.requests = row.Number("requests", 0, 1000000000);
      sheet.work.push_back(std::move(work));
      return;
    }
  }
}

void CheckConsistency(const work_sheet& sheet, std::vector<sheet_error>& errors) {
  std::set<std::string> kinds;
  for (const work_kind& kind : sheet.kinds) {
    if (!kinds.insert(kind.name).second) {
      errors.push_back({0, "name", "unique kind names, not \"" + kind.name + "\" twice"});
    }
  }
  std::set<std::string> members;
  for (const member_config& member : sheet.members) {
    if (!members.insert(member.name).second) {
      errors.push_back({0, "name", "unique member names, not \"" + member.name + "\" twice"});
    }
  }
  for (const expected_work& work : sheet.work) {
    if (!kinds.contains(work.kind)) {
      errors.push_back({0, "name", "a kind defined in the sheet, not \"" + work.kind + "\""});
    }
  }
  std::uint32_t floors = 0;
  for (std::uint32_t floor : sheet.floor_percent) floors += floor;
  if (floors > 100) errors.push_back({0, "floor_percent", "a sum of at most 100"});
  if (sheet.kinds.empty()) errors.push_back({0, "table", "at least one kind"});
  if (sheet.members.empty()) errors.push_back({0, "table", "at least one member"});
}

}  // namespace

work_sheet ParseSheet(std::string_view csv, std::vector<sheet_error>& errors) {
  work_sheet sheet;
  auto rows = ReadCsv(csv);
  if (!rows || rows->empty()) {
    errors.push_back({0, "", "well-formed CSV with a header row"});
    return sheet;
  }
  std::map<std::string, std::size_t> columns;
  for (std::size_t i = 0; i < rows->front().size(); ++i) columns[rows->front()[i]] = i;
  for (const char* column : kColumns) {
    if (!columns.contains(column)) errors.push_back({1, column, "this column in the header"});
  }
  if (!errors.empty()) return sheet;
  for (std::size_t i = 1; i < rows->size(); ++i) {
    row_reader row(columns, (*rows)[i], i + 1, errors);
    if ((*rows)[i].size() > columns.size()) row.Report("", "no more cells than the header");
    ReadRow(row, sheet);
  }
  if (errors.empty()) CheckConsistency(sheet, errors);
  return sheet;
}

}  // namespace radishroute
