#include "io/rank_json.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace radishroute {

namespace {

using nlohmann::json;

template <class T>
bool Read(const json& object, const char* key, T& out) {
  auto it = object.find(key);
  if (it == object.end() || !it->is_number_unsigned()) return false;
  out = it->get<T>();
  return true;
}

template <class T>
bool ReadList(const json& object, const char* key, std::vector<T>& out) {
  auto it = object.find(key);
  if (it == object.end() || !it->is_array()) return false;
  for (const json& item : *it) {
    if (!item.is_number_unsigned()) return false;
    out.push_back(item.get<T>());
  }
  return true;
}

bool ReadRange(const json& item, step_range& out) {
  return item.is_object() && Read(item, "map", out.map_version) && Read(item, "first", out.first) &&
         Read(item, "last", out.last);
}

bool ReadMap(const json& item, group_map& out) {
  if (!item.is_object() || !Read(item, "map", out.version)) return false;
  auto layers = item.find("layers");
  if (layers == item.end() || !layers->is_array()) return false;
  for (const json& layer : *layers) {
    json wrapped = {{"slots", layer}};
    if (!ReadList(wrapped, "slots", out.placement.layers.emplace_back().slots)) return false;
  }
  return true;
}

}  // namespace

std::string RenderRankOrder(const rank_order& order) {
  json ranges = json::array();
  for (const step_range& range : order.ranges) {
    ranges.push_back({{"map", range.map_version}, {"first", range.first}, {"last", range.last}});
  }
  json body = {{"ranges", std::move(ranges)},
               {"droppable_through", order.droppable_through},
               {"ranks", order.shape.ranks},
               {"experts", order.shape.experts},
               {"slots_per_rank", order.shape.slots_per_rank}};
  body["layers"] = order.shape.layers;
  if (order.load) {
    json layers = json::array();
    for (const layer_placement& layer : order.load->placement.layers) layers.push_back(layer.slots);
    body["load"] = {{"map", order.load->version}, {"layers", std::move(layers)}};
  }
  return body.dump();
}

std::optional<rank_order> ParseRankOrder(const std::string& body) {
  json parsed = json::parse(body, nullptr, false);
  rank_order order;
  if (!parsed.is_object() || !parsed.contains("ranges") || !parsed["ranges"].is_array() ||
      !Read(parsed, "droppable_through", order.droppable_through) ||
      !Read(parsed, "ranks", order.shape.ranks) || !Read(parsed, "experts", order.shape.experts) ||
      !Read(parsed, "layers", order.shape.layers) ||
      !Read(parsed, "slots_per_rank", order.shape.slots_per_rank)) {
    return std::nullopt;
  }
  for (const json& item : parsed["ranges"]) {
    if (!ReadRange(item, order.ranges.emplace_back())) return std::nullopt;
  }
  if (parsed.contains("load") && !ReadMap(parsed["load"], order.load.emplace())) {
    return std::nullopt;
  }
  return order;
}

std::string RenderRankProgress(const rank_progress& progress) {
  json body = {{"incarnation", progress.incarnation},
               {"step", progress.step},
               {"loaded", progress.loaded},
               {"loading", progress.loading},
               {"window", progress.counts.window},
               {"window_us", progress.counts.duration.count()},
               {"window_steps", progress.counts.steps},
               {"cells", progress.counts.cells},
               {"counts", progress.counts.counts}};
  return body.dump();
}

std::optional<rank_progress> ParseRankProgress(const std::string& body) {
  json parsed = json::parse(body, nullptr, false);
  rank_progress progress;
  std::uint64_t micros = 0;
  if (!parsed.is_object() || !Read(parsed, "incarnation", progress.incarnation) ||
      !Read(parsed, "step", progress.step) || !ReadList(parsed, "loaded", progress.loaded) ||
      !Read(parsed, "loading", progress.loading) ||
      !Read(parsed, "window", progress.counts.window) || !Read(parsed, "window_us", micros) ||
      !Read(parsed, "window_steps", progress.counts.steps) ||
      !ReadList(parsed, "cells", progress.counts.cells) ||
      !ReadList(parsed, "counts", progress.counts.counts) ||
      progress.counts.cells.size() != progress.counts.counts.size()) {
    return std::nullopt;
  }
  progress.counts.duration = std::chrono::microseconds(micros);
  return progress;
}

}  // namespace radishroute
