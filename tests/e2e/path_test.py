"""Guards the whole path: an answer that is lost, mixed up or cut, also while an entry drains."""

import sys
import threading
import time

from cluster import Cluster, wait_until


def request_succeeds(cluster):
    return cluster.load("--rate", "5", "--seconds", "1").returncode == 0


def main(program):
    with Cluster(program) as cluster:
        for i in range(2):
            cluster.add_entry(f"entry-{i}")
        for i in range(2):
            cluster.add_backend(f"agent-{i}")
        wait_until(lambda: request_succeeds(cluster), what="first answer")

        result = cluster.load("--rate", "200", "--seconds", "3")
        print(result.stdout, result.stderr)
        assert "whole 600, wrong 0, refused 0, failed 0, broken 0, unreachable 0" in result.stdout

        # Only entry-0 is drained while requests are in progress on it; none may be cut.
        entries, cluster.entries = cluster.entries, {"entry-0": cluster.entries["entry-0"]}
        results = []
        loader = threading.Thread(target=lambda: results.append(
            cluster.load("--rate", "50", "--seconds", "1", "--max-tokens", "200")))
        loader.start()
        time.sleep(0.7)
        code = cluster.stop("entry-0")
        loader.join()
        print(results[0].stdout, results[0].stderr)
        assert code == 0, f"entry exited with {code}"
        assert "wrong 0" in results[0].stdout and "broken 0" in results[0].stdout
        cluster.entries = {"entry-1": entries["entry-1"]}
        assert request_succeeds(cluster)


if __name__ == "__main__":
    main(sys.argv[1])
