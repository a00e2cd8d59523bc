"""Compares the placement policies with real processes: skew before and after a sudden shift of
popularity, copies, and the longest time between two steps. Not a test; it only prints figures."""

import os
import sys

from cluster import Cluster, wait_until
from experts_test import SHIFT_STEP, check_one_map, longest_gap, skew, start_group

POLICIES = ("incremental", "static", "greedy", "repack")
STEPS_AFTER_SHIFT = 1000
# Before this step the ranks wait for each other's first load of the weights.
STARTED = 100


def main(program, policies):
    print("policy, skew of steps 1-100, of 100 steps after the shift, of the last 100, maps, MiB, "
          "longest gap s, load average")
    for policy in policies:
        with Cluster(program) as cluster:
            group = start_group(cluster, policy)
            last = SHIFT_STEP + STEPS_AFTER_SHIFT
            wait_until(lambda: group.status()["step"] >= last, 120, f"step {last}")
            status = group.status()
            records = group.records()
            check_one_map(records)
            gap = longest_gap(records, records[0][STARTED][1], float('inf'))
            print(f"{policy}, {skew(records, 1, 100):.3f}, "
                  f"{skew(records, SHIFT_STEP, SHIFT_STEP + 99):.3f}, "
                  f"{skew(records, last - 99, last):.3f}, {status['changes'] + 1}, "
                  f"{status['bytes_moved'] >> 20}, {gap:.3f}, "
                  f"{os.getloadavg()[0]:.1f}", flush=True)


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:] or POLICIES)
