// Compares placements of voters over three zones by enumeration. Prints the Markdown table of
// docs/voters.md.

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace {

constexpr int kZones = 3;

struct voter {
  int zone = 0;
  int votes = 1;
};

using group = std::vector<voter>;

/// A placement is one log group for all Members, or one for each home zone.
struct placement {
  std::string name;
  /// Index: home zone of the Member.
  std::array<group, kZones> groups;
};

/// A failure: lost VMs, and a zone that is cut off from the others (kZones for none).
struct failure {
  std::vector<bool> lost;
  int cut_zone = kZones;
};

/// Whether entries of a zone reach a majority of a group's votes.
bool HasQuorum(const group& voters, const failure& f, std::size_t first_vm, int entry_zone) {
  int all = 0;
  int reached = 0;
  for (std::size_t i = 0; i < voters.size(); ++i) {
    all += voters[i].votes;
    bool cut = (voters[i].zone == f.cut_zone) != (entry_zone == f.cut_zone);
    if (!f.lost[first_vm + i] && !cut) reached += voters[i].votes;
  }
  return 2 * reached > all;
}

std::size_t VmCount(const placement& p, bool shared) {
  std::size_t count = 0;
  for (const group& g : p.groups) count += g.size();
  return shared ? p.groups[0].size() : count;
}

/// Share of non-idempotent calls that find a quorum. A call comes from the home zone of its Member
/// with the share `at_home`, else from either of the others alike.
double Kept(const placement& p, bool shared, const failure& f, double at_home) {
  double kept = 0;
  std::size_t first_vm = 0;
  for (int home = 0; home < kZones; ++home) {
    const group& g = p.groups[static_cast<std::size_t>(home)];
    for (int zone = 0; zone < kZones; ++zone) {
      double weight = (zone == home ? at_home : (1 - at_home) / (kZones - 1)) / kZones;
      if (HasQuorum(g, f, first_vm, zone)) kept += weight;
    }
    if (!shared) first_vm += g.size();
  }
  return kept;
}

struct spread {
  double mean = 0;
  double worst = 1;
};

spread Enumerate(const placement& p, bool shared, std::size_t lost, bool cut, double at_home) {
  std::size_t vms = VmCount(p, shared);
  spread result;
  double cases = 0;
  for (unsigned set = 0; set < (1U << vms); ++set) {
    if (static_cast<std::size_t>(__builtin_popcount(set)) != lost) continue;
    for (int zone = cut ? 0 : kZones; zone < (cut ? kZones : kZones + 1); ++zone) {
      failure f;
      for (std::size_t i = 0; i < vms; ++i) f.lost.push_back(((set >> i) & 1U) != 0);
      f.cut_zone = zone;
      double kept = Kept(p, shared, f, at_home);
      result.mean += kept;
      result.worst = std::min(result.worst, kept);
      cases += 1;
    }
  }
  result.mean /= cases;
  return result;
}

placement Shared(const std::string& name, const group& g) { return {name, {g, g, g}}; }

void Print(const placement& p, bool shared, double at_home) {
  std::printf("| %s | %zu |", p.name.c_str(), VmCount(p, shared));
  for (auto [lost, cut] : {std::pair{1, false}, {2, false}, {0, true}, {1, true}, {2, true}}) {
    spread s = Enumerate(p, shared, static_cast<std::size_t>(lost), cut, at_home);
    std::printf(" %.1f (%.1f) |", 100 * s.mean, 100 * s.worst);
  }
  std::printf("\n");
}

}  // namespace

int main() {
  std::vector<placement> shared = {
      Shared("2-2-1, one majority", {{0}, {0}, {1}, {1}, {2}}),
      Shared("3-1-1, one majority", {{0}, {0}, {0}, {1}, {2}}),
      Shared("1-1-1, one majority", {{0}, {1}, {2}}),
      Shared("2-2-1, weights 1,1,1,1,3", {{0}, {0}, {1}, {1}, {2, 3}}),
      Shared("2-2-1, weights 2,1,2,1,1", {{0, 2}, {0}, {1, 2}, {1}, {2}}),
  };
  placement home_three{"home zone, 3 voters in it", {}};
  placement home_spread{"home zone, 3-1-1 turned to it", {}};
  for (int z = 0; z < kZones; ++z) {
    int next = (z + 1) % kZones;
    int last = (z + 2) % kZones;
    home_three.groups[static_cast<std::size_t>(z)] = {{z}, {z}, {z}};
    home_spread.groups[static_cast<std::size_t>(z)] = {{z}, {z}, {z}, {next}, {last}};
  }
  for (double at_home : {1.0 / 3, 0.8, 1.0}) {
    std::printf("\nShare of calls from the home zone of their Member: %.0f%%\n\n", 100 * at_home);
    std::printf(
        "| placement | VMs | 1 VM lost | 2 VMs lost | zone cut | zone cut, 1 VM lost | "
        "zone cut, 2 VMs lost |\n|---|---|---|---|---|---|---|\n");
    for (const placement& p : shared) Print(p, true, at_home);
    Print(home_three, false, at_home);
    Print(home_spread, false, at_home);
  }
  return 0;
}
