"""Guards `radishroute drain`: an order that is taken without the operators' token, that cuts work in
progress, or whose failure has no reason."""

import os
import subprocess
import sys
import threading
import time

from cluster import Cluster, free_address, wait_until


def drain(cluster, address, token="token", *arguments):
    file = os.path.join(cluster.dir, "drain-token")
    with open(file, "w") as out:
        out.write(token + "\n")
    return subprocess.run([cluster.program, "drain", "--process", address, "--token-file", file,
                           *arguments], capture_output=True, text=True, timeout=20)


def refused(done, reason):
    assert done.returncode == 1 and reason in done.stderr, done


def wrong_orders(cluster, entry, agent):
    for admin in (entry["admin_listen"], agent["admin_listen"]):
        for token in ("", "wrong", "tokentoken"):
            refused(drain(cluster, admin, token), "not authorized")
    without = cluster.add_entry("entry-without-token")
    wait_until(lambda: cluster.metrics(without), what="entry without a token")
    refused(drain(cluster, without["admin_listen"], ""), "not authorized")
    refused(drain(cluster, free_address()), "connection failed")
    # The callers' address of an entry is none that takes orders.
    refused(drain(cluster, entry["http"]["listen"]), "does not take")
    for arguments in (["--process", "nowhere", "--token-file", cluster.sheet],
                      ["--process", entry["admin_listen"]],
                      ["--process", entry["admin_listen"], "--token-file", "/no/such/file"]):
        done = subprocess.run([cluster.program, "drain", *arguments], capture_output=True,
                              text=True, timeout=20)
        assert done.returncode == 2, done
    assert all(cluster.processes[name].poll() is None for name in ("entry-0", "agent-0"))


def silent_process(cluster, entry):
    """An order that may have arrived is not reported as refused."""
    cluster.processes["entry-1"].send_signal(19)  # SIGSTOP
    refused(drain(cluster, entry["admin_listen"], "token", "--timeout-ms", "500"), "outcome")
    cluster.processes["entry-1"].send_signal(18)  # SIGCONT
    # The order waits in the process's socket, so it drains after all.
    assert cluster.processes["entry-1"].wait(timeout=15) == 0


def main(program):
    with Cluster(program) as cluster:
        entries = [cluster.add_entry(f"entry-{i}", admin_token="token") for i in range(3)]
        agents = [cluster.add_backend(f"agent-{i}", admin_token="token") for i in range(2)]
        wait_until(lambda: cluster.load("--rate", "5", "--seconds", "1").returncode == 0,
                   what="first answer")
        wrong_orders(cluster, entries[0], agents[0])
        del cluster.entries["entry-without-token"]
        silent_process(cluster, entries[1])
        del cluster.entries["entry-1"]

        results = []
        loader = threading.Thread(target=lambda: results.append(
            cluster.load("--rate", "50", "--seconds", "4", "--max-tokens", "100")))
        loader.start()
        time.sleep(1)
        for name, address in (("entry-0", entries[0]["admin_listen"]),
                              ("agent-0", agents[0]["admin_listen"])):
            done = drain(cluster, address)
            assert done.returncode == 0 and "draining" in done.stdout, done
            # A repeated order changes nothing.
            assert drain(cluster, address).returncode == 0
            assert cluster.processes[name].wait(timeout=15) == 0, name
        loader.join()
        print(results[0].stdout, results[0].stderr)
        assert "whole 200, wrong 0, refused 0, failed 0, broken 0, unreachable 0" in (
            results[0].stdout), results[0].stdout


if __name__ == "__main__":
    main(sys.argv[1])
