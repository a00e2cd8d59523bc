"""Guards the load tool's checks: each must fail when a stand-in breaks its promise."""

import json
import sys
import threading
import time

import strict_http
from cluster import Cluster, wait_until

QUOTES = {"seconds": 1, "arrivals": "fixed", "kinds": [
    {"name": "quote", "model": "draft", "rate": 10, "max_tokens": 4, "stream": 0.5}]}
BOOKINGS = {"seconds": 1, "arrivals": "fixed", "kinds": [
    {"name": "booking", "service": "bench", "rate": 10, "resend_after_ms": 300}]}


def fetch(address, path):
    return json.loads(strict_http.fetch(address, path))


def outcomes(result, cls):
    return {name: count for name, count in result["classes"][cls]["outcomes"].items() if count}


def quotes_fail(cluster, fault, value, expected):
    address = cluster.engines["engine"]
    cluster.fault("engine", fault, value)
    done, result, records = cluster.run_plan(QUOTES, [address], name=fault)
    checked = cluster.check(records, [])
    cluster.fault("engine", "none")
    assert outcomes(result, "interactive").get(expected, 0) > 0, (fault, done.stdout)
    return done.returncode, checked


def bookings(cluster, name, *arguments):
    """Runs bookings against one service stand-in; returns the result and the check."""
    runs = f"{cluster.dir}/{name}.runs"
    address = cluster.add_engine(name, ["--kind", "service", "--runs-file", runs, *arguments])
    time.sleep(0.5)
    done, result, records = cluster.run_plan(BOOKINGS, [address], name=name)
    return result, cluster.check(records, [runs]), records


def established(address):
    """Connections to a loopback address, as their clients see them."""
    port = int(address.split(":")[1])
    with open("/proc/net/tcp") as file:
        fields = [line.split() for line in file.readlines()[1:]]
    return sum(f[3] == "01" and int(f[2].split(":")[1], 16) == port for f in fields)


def bounded_connections(cluster, plan):
    """Guards against connections without bound when answers stall: they made latencies that the
    tool reports its own, and runs of it end late."""
    address = cluster.engines["engine"]
    cluster.fault("engine", "none")
    cluster.fault("engine", "stall", 20000)
    counts, done = [], threading.Event()

    def watch():
        while not done.wait(0.1):
            counts.append(established(address))
    watcher = threading.Thread(target=watch)
    watcher.start()
    started = time.monotonic()
    _, result, _ = cluster.run_plan(plan, [address], name="bounded",
                                    arguments=("--connections", "16"))
    took = time.monotonic() - started
    done.set()
    watcher.join()
    print(f"at most {max(counts)} connections, {took:.1f} s")
    assert sum(outcomes(result, "interactive").values()) == 8000, result
    # Some that were given up may not be closed yet.
    assert 16 <= max(counts) <= 64, counts
    # Two seconds of requests, of which the last is given up after 1.5 s.
    assert took < 10, took


def main(program):
    with Cluster(program) as cluster:
        address = cluster.add_engine("engine")
        wait_until(lambda: cluster.run_plan(QUOTES, [address])[0].returncode == 0, what="engine")

        for fault, expected, violation in (("corrupt", "wrong", "wrong_answer"),
                                           ("cut", "cut", "cut_answer"),
                                           ("drop", "cut", "cut_answer")):
            code, checked = quotes_fail(cluster, fault, 2, expected)
            assert code == 1 and checked.returncode == 1, fault
            assert violation in checked.stdout, checked.stdout

        result, checked, records = bookings(cluster, "whole")
        assert outcomes(result, "transactional") == {"in_time": 10}, result
        assert checked.returncode == 0, checked.stdout
        empty = cluster.check(records, [])
        assert empty.returncode == 1 and "done_without_run" in empty.stdout, empty.stdout

        result, checked, _ = bookings(cluster, "twice", "--fault", "run-twice")
        assert checked.returncode == 1 and "ran_twice" in checked.stdout, checked.stdout
        result, checked, _ = bookings(cluster, "denied", "--fault", "deny-run")
        assert outcomes(result, "transactional") == {"not_run": 10}, result
        assert checked.returncode == 1 and "ran_although_not_run" in checked.stdout, checked.stdout

        # A service that ran the calls but answered late gets them again: each key ran twice, also
        # as the runs file of the restarted service shows.
        result, checked, records = bookings(cluster, "late", "--service-us", "800000")
        assert checked.returncode == 1 and "ran_twice" in checked.stdout, checked.stdout
        cluster.stop("late")
        runs = f"{cluster.dir}/late.runs"
        address = cluster.add_engine("restarted", ["--kind", "service", "--runs-file", runs])
        wait_until(lambda: fetch(address, "/v1/runs"), what="restarted service")
        counts = fetch(address, "/v1/runs")["runs"]
        assert len(counts) == 10 and min(counts.values()) > 1, counts
        # More calls than libwebsockets has header buffers (4096), given up while they wait for one;
        # the client used the memory of such calls after their end.
        cluster.fault("engine", "stall", 20000)
        plan = {"seconds": 2, "arrivals": "fixed", "kinds": [
            {"name": "quote", "model": "draft", "rate": 4000, "timeout_ms": 1500}]}
        done, result, _ = cluster.run_plan(plan, [cluster.engines["engine"]], name="flood",
                                           arguments=("--connections", "10000"))
        assert done.returncode == 1, done.returncode
        assert sum(outcomes(result, "interactive").values()) == 8000, done.stdout
        bounded_connections(cluster, plan)
        print("every check fails when it should")


if __name__ == "__main__":
    main(sys.argv[1])
