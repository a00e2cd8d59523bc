"""Guards the replicated log as processes: growth from one voter, loss of the leader, a lost disk,
wrong tokens and exit codes. Prints the time without a leader."""

import json
import os
import shutil
import subprocess
import sys
import time

from cluster import Cluster, wait_until


def main(program):
    with Cluster(program) as cluster:
        cluster.add_controller("c1", "--bootstrap")
        wait_until(lambda: cluster.leader() == "c1", what="first leader")
        for count, name in enumerate(("c2", "c3"), start=2):
            cluster.add_controller(name)
            code, reply = cluster.voter(
                "c1", "add", "--new", cluster.controllers[name]["admin_listen"])
            assert code == 0 and reply["status"] == "committed", reply
            wait_until(lambda: len(cluster.voters()) == count, what=f"{count} voters")

        # A voter id that does not exist, and a wrong token.
        assert cluster.voter("c1", "remove", "--id", "1")[0] == 4
        assert cluster.voter("c1", "remove")[0] == 2
        token, cluster.controllers["c1"]["admin_token"] = "token", "wrong"
        with open(os.path.join(cluster.dir, "wrong.json"), "w") as file:
            json.dump({"role": "controller", "secret": "x", **cluster.controllers["c1"]}, file)
        assert cluster.voter("wrong", "list")[0] == 1
        cluster.controllers["c1"]["admin_token"] = token

        # A second process on the same data folder must not start.
        path = os.path.join(cluster.dir, "c1.json")
        assert subprocess.run([program, "controller", "--settings", path], timeout=20,
                              capture_output=True).returncode == 1

        old = cluster.leader()
        cluster.kill(old)
        killed = time.monotonic()
        wait_until(cluster.leader, timeout=5, what="new leader")
        gap = time.monotonic() - killed
        print(f"time without a leader: {gap:.2f} s")
        assert gap < 2.0

        # The killed replica has lost its disk and is replaced; then the leader is lost too.
        lost_id = next(r["id"] for r in cluster.voter(cluster.leader(), "list")[1]["replicas"]
                       if r["address"] == cluster.controllers[old]["control_listen"])
        shutil.rmtree(cluster.controllers[old]["data"])
        cluster.add_controller(old)
        code, reply = cluster.voter(cluster.leader(), "replace", "--id", lost_id, "--new",
                                    cluster.controllers[old]["admin_listen"])
        assert code == 0, reply
        wait_until(lambda: lost_id not in cluster.voters() and len(cluster.voters()) == 3,
                   what="replacement")
        cluster.kill(cluster.leader())
        wait_until(cluster.leader, timeout=5, what="leader after the second loss")
        for name, process in cluster.processes.items():
            if process.poll() is None:
                assert cluster.stop(name) == 0


if __name__ == "__main__":
    main(sys.argv[1])
