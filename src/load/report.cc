#include "load/report.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>
#include <vector>

namespace radishroute {

namespace {

using nlohmann::json;

constexpr double kWidth = 860;
constexpr double kHeight = 220;
constexpr double kMargin = 50;
constexpr std::array<const char*, 8> kColors = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad",
                                                "#d68910", "#566573", "#16a085", "#7b241c"};

struct line {
  std::string name;
  std::vector<double> values;
};

std::string Escape(const std::string& text) {
  std::string out;
  for (char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

/// A plot of lines with one value per second, with the events as vertical lines.
std::string Plot(const std::string& title, const std::vector<line>& lines, const json& events) {
  std::size_t seconds = 1;
  double highest = 0;
  for (const line& l : lines) {
    seconds = std::max(seconds, l.values.size());
    for (double v : l.values) highest = std::max(highest, v);
  }
  if (highest == 0) highest = 1;
  double plot_width = kWidth - 2 * kMargin;
  double plot_height = kHeight - 2 * kMargin;
  auto x = [&](double second) {
    return kMargin + plot_width * second / static_cast<double>(seconds);
  };
  auto y = [&](double value) { return kHeight - kMargin - plot_height * value / highest; };
  std::ostringstream out;
  out << "<h2>" << Escape(title) << "</h2>\n<svg width=\"" << kWidth << "\" height=\"" << kHeight
      << "\" role=\"img\"><rect x=\"" << kMargin << "\" y=\"" << kMargin << "\" width=\""
      << plot_width << "\" height=\"" << plot_height << "\" fill=\"none\" stroke=\"#aaa\"/>"
      << "<text x=\"4\" y=\"" << kMargin + 4 << "\">" << highest << "</text><text x=\"4\" y=\""
      << kHeight - kMargin << "\">0</text><text x=\"" << kWidth - kMargin << "\" y=\""
      << kHeight - kMargin + 16 << "\" text-anchor=\"end\">" << seconds << " s</text>\n";
  for (const json& event : events) {
    double at = x(event.value("second", 0.0));
    out << "<line x1=\"" << at << "\" x2=\"" << at << "\" y1=\"" << kMargin << "\" y2=\""
        << kHeight - kMargin << "\" stroke=\"#333\" stroke-dasharray=\"4 3\"/><text x=\"" << at + 3
        << "\" y=\"" << kMargin - 4 << "\">" << Escape(event.value("text", "")) << "</text>\n";
  }
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const char* color = kColors[i % kColors.size()];
    out << "<polyline fill=\"none\" stroke=\"" << color << "\" points=\"";
    for (std::size_t s = 0; s < lines[i].values.size(); ++s) {
      out << x(static_cast<double>(s) + 0.5) << "," << y(lines[i].values[s]) << " ";
    }
    out << "\"/><text x=\"" << kMargin + 90 * static_cast<double>(i) << "\" y=\"" << kHeight - 8
        << "\" fill=\"" << color << "\">" << Escape(lines[i].name) << "</text>\n";
  }
  out << "</svg>\n";
  return out.str();
}

std::vector<line> LatencyLines(const json& cls) {
  std::vector<line> lines = {{"p50", {}}, {"p95", {}}, {"p99", {}}};
  for (const json& point : cls.at("series")) {
    for (line& l : lines) l.values.push_back(point.at("latency_ms").at(l.name).get<double>());
  }
  return lines;
}

std::vector<line> OutcomeLines(const json& cls) {
  std::vector<line> lines = {{"in_time", {}}, {"late", {}}, {"not_run", {}}, {"unknown", {}}};
  for (const json& point : cls.at("series")) {
    for (line& l : lines) l.values.push_back(point.at(l.name).get<double>());
  }
  return lines;
}

std::vector<line> MemberLines(const json& members) {
  std::vector<line> lines;
  for (const auto& [name, member] : members.items()) {
    line l{name, {}};
    for (const json& point : member.at("series")) {
      double sent = point.at("sent").get<double>();
      l.values.push_back(sent == 0 ? 0 : point.at("in_time").get<double>() / sent);
    }
    lines.push_back(std::move(l));
  }
  return lines;
}

/// Every figure of a result that a comparison shows, by name.
std::vector<std::pair<std::string, double>> Figures(const json& result) {
  std::vector<std::pair<std::string, double>> figures;
  for (const auto& [name, cls] : result.at("classes").items()) {
    for (const auto& [outcome, count] : cls.at("outcomes").items()) {
      figures.emplace_back(name + " " + outcome, count.get<double>());
    }
    for (const char* measure : {"latency_ms", "first_byte_ms", "token_gap_ms"}) {
      for (const char* at : {"p50", "p95", "p99"}) {
        figures.emplace_back(name + " " + measure + " " + at, cls.at(measure).at(at).get<double>());
      }
    }
  }
  figures.emplace_back("jain_weighted", result.at("jain_weighted").get<double>());
  return figures;
}

}  // namespace

std::string RenderReport(const json& result) {
  std::ostringstream out;
  out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Load "
         "report</title><style>body{font-family:sans-serif;margin:2em}svg text{font-size:12px}"
         "td,th{padding:2px 10px;text-align:right}</style></head><body>\n<h1>Load report</h1>\n"
      << "<p>Seed " << result.at("seed") << ", " << result.at("seconds")
      << " s, weighted Jain's index " << result.at("jain_weighted") << "</p>\n<table>";
  for (const auto& [name, value] : Figures(result)) {
    out << "<tr><td style=\"text-align:left\">" << Escape(name) << "</td><td>" << value
        << "</td></tr>\n";
  }
  out << "</table>\n";
  const json& events = result.at("events");
  for (const auto& [name, cls] : result.at("classes").items()) {
    if (cls.at("series").empty()) continue;
    out << Plot("Latency of " + name + " in ms", LatencyLines(cls), events);
    out << Plot("Outcomes of " + name + " per second", OutcomeLines(cls), events);
  }
  out << Plot("Part of each Member's requests answered in time", MemberLines(result.at("members")),
              events);
  out << "</body></html>\n";
  return out.str();
}

std::string RenderComparison(const json& a, const json& b) {
  auto left = Figures(a);
  auto right = Figures(b);
  std::ostringstream out;
  out << std::left << std::setw(36) << "figure" << std::right << std::setw(12) << "A"
      << std::setw(12) << "B" << std::setw(12) << "B - A"
      << "\n";
  for (std::size_t i = 0; i < left.size() && i < right.size(); ++i) {
    if (left[i].second == 0 && right[i].second == 0) continue;
    out << std::left << std::setw(36) << left[i].first << std::right << std::setw(12)
        << left[i].second << std::setw(12) << right[i].second << std::setw(12)
        << right[i].second - left[i].second << "\n";
  }
  return out.str();
}

}  // namespace radishroute
