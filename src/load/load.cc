#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>

#include "cli/commands.h"
#include "cli/options.h"
#include "cli/process.h"
#include "load/runner.h"
#include "load/tools.h"

namespace radishroute {

namespace {

using text_list = std::vector<std::string>;

cxxopts::Options Describe() {
  cxxopts::Options options("radishroute load",
                           "Sends requests and checks every answer. Other tools: load report, "
                           "load compare, load check.");
  auto text = [] { return cxxopts::value<std::string>(); };
  options.add_options()("target", "address of an entry, may be repeated",
                        cxxopts::value<text_list>())("plan", "JSON plan file", text())(
      "sheet", "CSV sheet that the plan's kinds and Members are taken from", text())(
      "out", "result file in JSON", text())("records", "file with one line per request", text())(
      "control", "address to listen on for POST /v1/mark", text())(
      "mark", "file with one event per line: seconds since 1970, a space, text", text())(
      "rate", "without a plan: requests per second", cxxopts::value<double>()->default_value("10"))(
      "seconds", "without a plan: duration", cxxopts::value<unsigned>()->default_value("5"))(
      "model", "without a plan: model", text()->default_value("draft"))(
      "member", "without a plan: Member, may be repeated", cxxopts::value<text_list>())(
      "kind", "without a plan: kind of work, may be repeated", cxxopts::value<text_list>())(
      "max-tokens", "without a plan: tokens per answer",
      cxxopts::value<unsigned>()->default_value("16"))(
      "connections", "connections to each target at most",
      cxxopts::value<std::size_t>()->default_value(
          std::to_string(load_generator::kDefaultConnections)))(
      "seed", "random seed; goes before the plan's", cxxopts::value<std::uint64_t>());
  return options;
}

/// A plan of evenly spaced requests, from the command line alone.
load_plan SimplePlan(const cxxopts::ParseResult& parsed) {
  load_plan plan;
  plan.poisson = false;
  plan.duration = std::chrono::seconds(parsed["seconds"].as<unsigned>());
  for (const std::string& member : parsed["member"].as<text_list>()) {
    plan.members.push_back({member, 1, 1});
  }
  auto kinds = parsed["kind"].as<text_list>();
  double rate = parsed["rate"].as<double>() / static_cast<double>(kinds.size());
  for (const std::string& name : kinds) {
    load_kind kind;
    kind.name = name;
    kind.rates.push_back({std::chrono::milliseconds(0), rate});
    kind.model = parsed["model"].as<std::string>();
    std::uint32_t tokens = parsed["max-tokens"].as<unsigned>();
    kind.max_tokens = {tokens, tokens};
    plan.kinds.push_back(std::move(kind));
  }
  return plan;
}

std::optional<load_plan> MakePlan(const cxxopts::ParseResult& parsed) {
  std::optional<load_plan> plan;
  if (parsed.count("plan") > 0) {
    auto file = parsed["plan"].as<std::string>();
    std::optional<std::string> sheet;
    if (parsed.count("sheet") > 0) {
      sheet = ReadFile(parsed["sheet"].as<std::string>()).value_or("");
    }
    std::vector<settings_error> errors;
    plan = ParseLoadPlan(ReadFile(file).value_or(""), sheet, errors);
    if (PrintErrors(file, errors)) return std::nullopt;
  } else if (parsed.count("member") > 0 && parsed.count("kind") > 0) {
    plan = SimplePlan(parsed);
  } else {
    std::cerr << "--plan, or --member and --kind, are required\n";
    return std::nullopt;
  }
  if (parsed.count("seed") > 0) plan->seed = parsed["seed"].as<std::uint64_t>();
  return plan;
}

bool ParseTargets(const cxxopts::ParseResult& parsed, std::vector<endpoint>& out) {
  if (parsed.count("target") == 0) return false;
  for (const std::string& text : parsed["target"].as<text_list>()) {
    if (!ParseEndpoint(text, out.emplace_back())) return false;
  }
  return true;
}

void ReadMarks(const std::string& file, wall_time start, load_result& result) {
  std::ifstream in(file);
  for (std::string text; std::getline(in, text);) {
    std::istringstream words(text);
    double seconds = 0;
    std::string rest;
    if (!(words >> seconds) || !std::getline(words >> std::ws, rest)) continue;
    auto since = std::chrono::duration<double>(seconds) - start.time_since_epoch();
    result.Mark({std::chrono::duration_cast<std::chrono::microseconds>(since), rest});
  }
}

int Run(const cxxopts::ParseResult& parsed, const load_plan& plan,
        const std::vector<endpoint>& targets) {
  std::ofstream records;
  if (parsed.count("records") > 0) records.open(parsed["records"].as<std::string>());
  load_runner runner(plan, targets, parsed["connections"].as<std::size_t>(),
                     parsed.count("records") > 0 ? &records : nullptr);
  if (parsed.count("control") > 0) {
    endpoint control;
    if (!ParseEndpoint(parsed["control"].as<std::string>(), control)) {
      std::cerr << "--control must be an IPv4 address and port\n";
      return kExitUsage;
    }
    if (std::error_code error = runner.ListenForMarks(control)) {
      std::cerr << ToString(control) << ": " << error.message() << "\n";
      return kExitFailed;
    }
  }
  load_result result = runner.Run();
  if (parsed.count("mark") > 0) {
    ReadMarks(parsed["mark"].as<std::string>(), runner.WallStart(), result);
  }
  std::cout << result.Summary();
  bool written = true;
  if (parsed.count("out") > 0) {
    std::ofstream out(parsed["out"].as<std::string>());
    out << result.ToJson().dump(1) << "\n";
    out.close();
    written = static_cast<bool>(out);
  }
  if (parsed.count("records") > 0) {
    records.close();
    written = written && static_cast<bool>(records);
  }
  if (!written) {
    std::cerr << "the result or the records could not be written\n";
    return kExitFailed;
  }
  bool bad = result.Count(load_outcome::kWrong) + result.Count(load_outcome::kCut) > 0;
  bool any = result.Count(load_outcome::kInTime) + result.Count(load_outcome::kLate) > 0;
  return !bad && any ? kExitSuccess : kExitFailed;
}

}  // namespace

int RunLoad(int argc, char** argv) {
  std::string_view tool = argc > 1 ? argv[1] : "";
  if (tool == "report") return RunLoadReport(argc - 1, argv + 1);
  if (tool == "compare") return RunLoadCompare(argc - 1, argv + 1);
  if (tool == "check") return RunLoadCheck(argc - 1, argv + 1);
  cxxopts::Options options = Describe();
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  std::vector<endpoint> targets;
  if (!ParseTargets(*parsed, targets)) {
    std::cerr << "--target is required and must be an IPv4 address and port\n";
    return kExitUsage;
  }
  auto plan = MakePlan(*parsed);
  if (!plan) return kExitUsage;
  if ((*parsed)["connections"].as<std::size_t>() == 0) {
    std::cerr << "--connections must be 1 or more\n";
    return kExitUsage;
  }
  QuietLibwebsockets();
  return Run(*parsed, *plan, targets);
}

}  // namespace radishroute
