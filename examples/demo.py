"""Runs two entries and three backend servers on loopback, sends load, and prints what happened."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests", "e2e"))
from cluster import Cluster, wait_until  # noqa: E402


def main(program):
    with Cluster(program) as cluster:
        for i in range(2):
            cluster.add_entry(f"entry-{i}")
        for i in range(3):
            cluster.add_backend(f"agent-{i}")
        wait_until(lambda: cluster.load("--rate", "5", "--seconds", "1").returncode == 0)
        result = cluster.load("--rate", "100", "--seconds", "5")
        print("500 requests through 2 entries to 3 backend servers, every byte checked:")
        print(result.stdout.strip())
        for name, entry in cluster.entries.items():
            counts = cluster.metrics(entry)
            print(f"{name}: received {counts['radishroute_requests_received_total']:.0f}, "
                  f"completed {counts['radishroute_answers_completed_total']:.0f}")
        return result.returncode


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
