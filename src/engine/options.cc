#include "engine/options.h"

#include <charconv>
#include <iostream>

#include "cli/options.h"
#include "cli/process.h"
#include "radishroute/settings.h"

namespace radishroute {

namespace {

cxxopts::Options Describe() {
  cxxopts::Options options("radishroute engine", "Stand-in for a model engine or a plain service.");
  auto number = [](const char* value) {
    return cxxopts::value<std::uint64_t>()->default_value(value);
  };
  auto text = [](const char* value) { return cxxopts::value<std::string>()->default_value(value); };
  options.add_options()("listen", "address", text(""))("kind", "engine, service, weights or rank",
                                                       text("engine"))(
      "model", "model served at the start, may be repeated; any model without it",
      cxxopts::value<std::vector<std::string>>())("max-batch", "requests in a batch", number("16"))(
      "step-us", "duration of a step without requests, in microseconds", number("2000"))(
      "step-per-request-us", "added duration per request in the batch", number("100"))(
      "prefill-per-token-us", "added duration per prompt token that is not cached", number("10"))(
      "cache-blocks", "blocks of 16 tokens in the prefix cache", number("4096"))(
      "cache-event-delay-ms", "delay of cache events", number("50"))(
      "cache-event-lose-every", "every n-th cache event is lost; 0 for none", number("0"))(
      "load-lag-ms", "age of the load reported by GET /v1/load", number("0"))(
      "fencing", "check or ignore: orders with an old fencing token", text("check"))(
      "weight-store", "address of a weight store", text(""))(
      "weight-rate", "bytes per second of a weight store", number("1000000000"))(
      "service-us", "duration of a service call", number("0"))(
      "runs-file", "file to which each run of a service call is appended", text(""))(
      "crash-on", "exit when a prompt contains this text", text(""))(
      "fault", "fault at the start, NAME or NAME=VALUE, may be repeated",
      cxxopts::value<std::vector<std::string>>())("rank", "number of a rank in its group",
                                                  number("0"))(
      "peer", "address of each rank of the group, in their order",
      cxxopts::value<std::vector<std::string>>())("seed", "seed of the experts' popularity",
                                                  number("1"))(
      "tokens", "tokens of a step in each layer", number("4096"))(
      "token-ns", "added duration of a step per token of this rank", number("1000"))(
      "window-steps", "steps of one window of expert counts", number("50"))(
      "drift-windows", "windows after which two experts change places in popularity", number("20"))(
      "shift-step", "step at which other experts become popular; 0 for none", number("0"))(
      "expert-bytes", "size of one expert's weights", number("1048576"))(
      "steps-file", "file to which each step of a rank is appended", text(""));
  return options;
}

bool ParseKind(const std::string& text, stand_in_kind& out) {
  if (text == "engine") {
    out = stand_in_kind::kEngine;
  } else if (text == "service") {
    out = stand_in_kind::kService;
  } else if (text == "weights") {
    out = stand_in_kind::kWeights;
  } else if (text == "rank") {
    out = stand_in_kind::kRank;
  } else {
    return false;
  }
  return true;
}

bool ParseFaults(const cxxopts::ParseResult& parsed, std::vector<fault_injected>& out) {
  if (parsed.count("fault") == 0) return true;
  for (const std::string& text : parsed["fault"].as<std::vector<std::string>>()) {
    fault_injected injected;
    std::size_t equals = text.find('=');
    if (!ParseFault(text.substr(0, equals), injected.fault)) return false;
    if (equals != std::string::npos) {
      const char* end = text.data() + text.size();
      auto [rest, error] = std::from_chars(text.data() + equals + 1, end, injected.value);
      if (error != std::errc() || rest != end) return false;
    }
    out.push_back(injected);
  }
  return true;
}

void ReadSettings(const cxxopts::ParseResult& parsed, engine_settings& out) {
  auto number = [&](const char* name) { return parsed[name].as<std::uint64_t>(); };
  out.speed.max_batch = static_cast<std::uint32_t>(number("max-batch"));
  out.speed.step_base = std::chrono::microseconds(number("step-us"));
  out.speed.step_per_request = std::chrono::microseconds(number("step-per-request-us"));
  out.speed.prefill_per_token = std::chrono::microseconds(number("prefill-per-token-us"));
  out.cache.blocks = number("cache-blocks");
  out.cache.event_delay = std::chrono::milliseconds(number("cache-event-delay-ms"));
  out.cache.lose_every = number("cache-event-lose-every");
  out.load_lag = std::chrono::milliseconds(number("load-lag-ms"));
  out.weight_bytes_per_second = std::max<std::uint64_t>(number("weight-rate"), 1);
  out.service_time = std::chrono::microseconds(number("service-us"));
  out.faults.crash_on = parsed["crash-on"].as<std::string>();
  if (parsed.count("model") > 0) {
    auto models = parsed["model"].as<std::vector<std::string>>();
    out.models.insert(models.begin(), models.end());
  }
}

bool ReadRank(const cxxopts::ParseResult& parsed, rank_options& out) {
  auto number = [&](const char* name) { return parsed[name].as<std::uint64_t>(); };
  out.model.rank = static_cast<std::uint32_t>(number("rank"));
  out.model.popularity.seed = number("seed");
  out.model.popularity.tokens_per_step = static_cast<std::uint32_t>(number("tokens"));
  out.model.popularity.drift_windows = std::max(number("drift-windows"), std::uint64_t{1});
  out.model.popularity.shift_step = number("shift-step");
  out.model.step_base = std::chrono::microseconds(number("step-us"));
  out.model.per_token = std::chrono::nanoseconds(number("token-ns"));
  out.model.window_steps = std::max(static_cast<std::uint32_t>(number("window-steps")), 1U);
  out.model.expert_bytes = number("expert-bytes");
  out.steps_file = parsed["steps-file"].as<std::string>();
  if (parsed.count("peer") == 0) return false;
  for (const std::string& text : parsed["peer"].as<std::vector<std::string>>()) {
    if (!ParseEndpoint(text, out.peers.emplace_back())) return false;
  }
  return out.model.rank < out.peers.size();
}

}  // namespace

std::optional<engine_options> ParseEngineOptions(int argc, char** argv, int& exit) {
  cxxopts::Options described = Describe();
  auto parsed = ParseOptions(described, argc, argv, exit);
  if (!parsed) return std::nullopt;
  engine_options out;
  auto fail = [&](const char* expected) -> std::optional<engine_options> {
    std::cerr << expected << "\n";
    exit = kExitUsage;
    return std::nullopt;
  };
  if (!ParseEndpoint((*parsed)["listen"].as<std::string>(), out.listen)) {
    return fail("--listen must be an IPv4 address and port");
  }
  if (!ParseKind((*parsed)["kind"].as<std::string>(), out.kind)) {
    return fail("--kind must be engine, service, weights or rank");
  }
  std::string fencing = (*parsed)["fencing"].as<std::string>();
  if (fencing != "check" && fencing != "ignore") return fail("--fencing must be check or ignore");
  out.settings.checks_fencing = fencing == "check";
  std::string store = (*parsed)["weight-store"].as<std::string>();
  if (!store.empty() && !ParseEndpoint(store, out.weight_store)) {
    return fail("--weight-store must be an IPv4 address and port");
  }
  if (!ParseFaults(*parsed, out.faults)) return fail("--fault must be NAME or NAME=NUMBER");
  out.runs_file = (*parsed)["runs-file"].as<std::string>();
  ReadSettings(*parsed, out.settings);
  if (out.kind == stand_in_kind::kRank && !ReadRank(*parsed, out.rank)) {
    return fail("--kind rank needs --peer for each rank, and --rank below their number");
  }
  return out;
}

}  // namespace radishroute
