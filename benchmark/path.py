"""Measures the request path on loopback; prints the figures of docs/performance/path.md.

usage: python3 benchmark/path.py PROGRAM BARE_SERVER [latency|throughput|idle ...]"""

import json
import os
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests", "e2e"))
from cluster import Cluster, wait_until  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")
THREADS = 2
BARE_PORT = 18231
GENERATORS = 3
CONNECTIONS = 64
OFFERED = 18000
WARM_UP = 1
MEASURED = 3
TURNS = 2


def service_plan(rate, seconds):
    return {"seconds": seconds, "arrivals": "poisson", "kinds": [
        {"name": "quote", "service": "bench", "rate": rate, "prompt_tokens": 8,
         "resends": 0, "resend_after_ms": 60000, "timeout_ms": 60000}]}


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def status(process, key):
    total = 0
    for thread in os.listdir(f"/proc/{process.pid}/task"):
        with open(f"/proc/{process.pid}/task/{thread}/status") as file:
            total += sum(int(line.split()[1]) for line in file if line.startswith(key))
    return total


def start_path(cluster):
    cluster.add_entry("entry", threads=THREADS)
    cluster.add_service("service", "a", "bench")
    wait_until(lambda: cluster.run_plan(service_plan(5, 1), name="probe")[0].returncode == 0)


def latency(cluster):
    """Path and stand-in in one run, side by side."""
    direct = cluster.engines["service-engine"]
    results = {}

    def run(name, targets):
        results[name] = cluster.run_plan(service_plan(RATE, 10), targets, name=name)[1]
    threads = [threading.Thread(target=run, args=("path", None)),
               threading.Thread(target=run, args=("direct", [direct]))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for name, result in sorted(results.items()):
        print(name, f"{RATE}/s", result["classes"]["interactive"]["latency_ms"],
              result["classes"]["interactive"]["outcomes"]["in_time"])


def saturated(cluster, targets):
    """Answers per second while several generators offer more than the targets can take. A bounded
    number of connections keeps the generators' own cost low; what they cannot send waits."""
    answers = []

    def run(i):
        plan = dict(service_plan(OFFERED / GENERATORS, WARM_UP + MEASURED), seed=i + 1)
        _, _, records = cluster.run_plan(plan, targets, name=f"saturated{i}",
                                         arguments=("--connections", str(CONNECTIONS)))
        with open(records) as file:
            for line in file:
                record = json.loads(line)
                # The bare server's answer has the right length only, so it counts as wrong.
                if record["outcome"] in ("in_time", "late", "wrong"):
                    answers.append((record["planned_us"] + record["latency_us"]) / 1e6)
    threads = [threading.Thread(target=run, args=(i,)) for i in range(GENERATORS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(WARM_UP <= at < WARM_UP + MEASURED for at in answers) / MEASURED


def throughput(cluster, bare):
    # Below the range of ephemeral ports, which the generators use up.
    server = subprocess.Popen([bare, str(BARE_PORT), str(THREADS)])
    cluster.processes["bare"] = server
    time.sleep(0.5)
    parts = {
        "path": (None, ("entry", "service", "service-engine")),
        "bare": ([f"127.0.0.1:{BARE_PORT + i}" for i in range(THREADS)], ("bare",))}
    # In turns, so that other work on the machine meets both alike.
    for turn in range(TURNS):
        rates = {}
        for name, (targets, processes) in parts.items():
            before = [cpu_seconds(cluster.processes[p]) for p in processes]
            rates[name] = saturated(cluster, targets)
            used = [round(cpu_seconds(cluster.processes[p]) - b, 1)
                    for p, b in zip(processes, before)]
            print(f"  {name}: {rates[name]:.0f}/s, processor s of", processes, used,
                  "load average", os.getloadavg()[0], flush=True)
        print(f"turn {turn}: path / bare = {rates['path'] / rates['bare']:.1%}", flush=True)


def idle(cluster):
    names = ("entry", "service")
    before = {n: (cpu_seconds(cluster.processes[n]),
                  status(cluster.processes[n], "voluntary_ctxt")) for n in names}
    time.sleep(10)
    for n in names:
        process = cluster.processes[n]
        used = cpu_seconds(process) - before[n][0]
        wakeups = status(process, "voluntary_ctxt") - before[n][1]
        with open(f"/proc/{process.pid}/status") as file:
            memory = next(line.split()[1] for line in file if line.startswith("VmRSS"))
        print(f"idle {n}: {used / 10:.2%} of a core, {wakeups / 10:.1f} wake-ups/s, {memory} KiB")


def main(program, bare, parts):
    with Cluster(program) as cluster:
        start_path(cluster)
        if "idle" in parts:
            idle(cluster)
        if "latency" in parts:
            latency(cluster)
        if "throughput" in parts:
            throughput(cluster, bare)


RATE = int(os.environ.get("RATE", "500"))

if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2], sys.argv[3:] or ["idle", "latency", "throughput"])
