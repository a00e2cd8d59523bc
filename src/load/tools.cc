#include "load/tools.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "cli/options.h"
#include "cli/process.h"
#include "load/check.h"
#include "load/report.h"

namespace radishroute {

namespace {

using file_list = std::vector<std::string>;

// A damaged run may have thousands of violations of one cause.
constexpr std::size_t kMaxPrintedViolations = 20;

std::optional<nlohmann::json> ReadResult(const std::string& file) {
  auto text = ReadFile(file);
  nlohmann::json result = nlohmann::json::parse(text.value_or(""), nullptr, false);
  if (result.is_object() && result.contains("classes") && result.contains("events")) return result;
  std::cerr << file << ": expected a result file of radishroute load\n";
  return std::nullopt;
}

file_list Files(const cxxopts::ParseResult& parsed, const char* option) {
  return parsed.count(option) == 0 ? file_list() : parsed[option].as<file_list>();
}

bool ReadRecords(const file_list& files, std::vector<load_record>& out) {
  for (const std::string& file : files) {
    std::ifstream in(file);
    std::size_t number = 0;
    for (std::string text; std::getline(in, text);) {
      ++number;
      load_record record;
      if (!ReadRecord(text, record)) {
        std::cerr << file << ": line " << number << ": expected a record\n";
        return false;
      }
      out.push_back(std::move(record));
    }
    if (number > 0) continue;
    std::cerr << file << ": expected at least one record\n";
    return false;
  }
  return true;
}

bool ReadRuns(const file_list& files, std::map<std::string, std::uint64_t>& out) {
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in) {
      std::cerr << file << ": cannot be read\n";
      return false;
    }
    for (std::string key; std::getline(in, key);) ++out[key];
  }
  return true;
}

}  // namespace

int RunLoadReport(int argc, char** argv) {
  cxxopts::Options options("radishroute load report", "Makes an HTML page of a result file.");
  options.add_options()("result", "result file", cxxopts::value<std::string>())(
      "out", "HTML file", cxxopts::value<std::string>()->default_value("report.html"));
  options.parse_positional({"result"});
  options.positional_help("RESULT");
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  if (parsed->count("result") == 0) {
    std::cerr << "a result file is required\n";
    return kExitUsage;
  }
  auto result = ReadResult((*parsed)["result"].as<std::string>());
  if (!result) return kExitUsage;
  std::ofstream out((*parsed)["out"].as<std::string>());
  out << RenderReport(*result);
  out.close();
  return out ? kExitSuccess : kExitFailed;
}

int RunLoadCompare(int argc, char** argv) {
  cxxopts::Options options("radishroute load compare", "Prints two results side by side.");
  options.add_options()("results", "two result files", cxxopts::value<file_list>());
  options.parse_positional({"results"});
  options.positional_help("A B");
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  file_list files = Files(*parsed, "results");
  if (files.size() != 2) {
    std::cerr << "two result files are required\n";
    return kExitUsage;
  }
  auto a = ReadResult(files[0]);
  auto b = ReadResult(files[1]);
  if (!a || !b) return kExitUsage;
  std::cout << RenderComparison(*a, *b);
  return kExitSuccess;
}

int RunLoadCheck(int argc, char** argv) {
  cxxopts::Options options("radishroute load check",
                           "Checks a run's records against the runs of the services.");
  options.add_options()("records", "records of a load, may be repeated",
                        cxxopts::value<file_list>())(
      "runs-file", "runs file of a service, may be repeated", cxxopts::value<file_list>())(
      "allow-cut", "accept cut streams, for runs that kill entries");
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  if (parsed->count("records") == 0) {
    std::cerr << "--records is required\n";
    return kExitUsage;
  }
  std::vector<load_record> records;
  std::map<std::string, std::uint64_t> runs;
  if (!ReadRecords(Files(*parsed, "records"), records) ||
      !ReadRuns(Files(*parsed, "runs-file"), runs)) {
    return kExitUsage;
  }
  std::vector<violation_found> found = CheckRun(records, runs);
  if (parsed->count("allow-cut") > 0) {
    std::erase_if(found, [](const auto& v) { return v.violation == load_violation::kCutAnswer; });
  }
  for (std::size_t i = 0; i < std::min(found.size(), kMaxPrintedViolations); ++i) {
    std::cout << ToString(found[i].violation) << " " << found[i].subject << "\n";
  }
  std::cout << records.size() << " requests, " << runs.size() << " keys run, " << found.size()
            << " violations\n";
  return found.empty() ? kExitSuccess : kExitFailed;
}

}  // namespace radishroute
