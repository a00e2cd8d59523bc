"""Measures the request path on loopback; prints the figures of docs/performance/path.md.

usage: python3 benchmark/path.py PROGRAM BARE_SERVER [latency|throughput|idle ...]"""

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
RATES = (3000, 6000, 8000, 9000, 10000, 12000, 14000, 17000, 20000, 24000, 28000)


def service_plan(rate, seconds):
    return {"seconds": seconds, "arrivals": "poisson", "kinds": [
        {"name": "booking", "service": "bench", "rate": rate, "prompt_tokens": 8,
         "resends": 0, "timeout_ms": 5000}]}


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
        print(name, f"{RATE}/s", result["classes"]["transactional"]["latency_ms"],
              result["classes"]["transactional"]["outcomes"]["in_time"])


def try_rate(cluster, targets, rate):
    """Sends the rate from several generators; returns the worst p99 and the part answered."""
    results = []

    def run(i):
        plan = dict(service_plan(rate / GENERATORS, 3), seed=i + 1)
        try:
            results.append(cluster.run_plan(plan, targets, timeout=30, name=f"rate{i}")[1])
        except subprocess.TimeoutExpired:
            pass
    threads = [threading.Thread(target=run, args=(i,)) for i in range(GENERATORS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(results) < GENERATORS:
        return float("inf"), 0
    figures = [r["classes"]["transactional"] for r in results]
    sent = sum(sum(f["outcomes"].values()) for f in figures)
    # The bare server's answer has the right length only, so it counts as wrong and has no latency.
    answered = sum(f["outcomes"]["in_time"] + f["outcomes"]["wrong"] for f in figures)
    return max(f["latency_ms"]["p99"] for f in figures), answered / sent


def highest_rate(cluster, targets, processes):
    """Raises the rate until fewer than 99% are answered or the p99 exceeds 500 ms."""
    best = 0
    for rate in RATES:
        before = [cpu_seconds(p) for p in processes]
        p99, answered = try_rate(cluster, targets, rate)
        used = [cpu_seconds(p) - b for p, b in zip(processes, before)]
        print(f"  {rate}/s: answered {answered:.1%}, p99 {p99} ms, processor s",
              [round(u, 2) for u in used], flush=True)
        if answered < 0.99 or p99 > 500:
            break
        best = rate
    return best


def throughput(cluster, bare):
    processes = [cluster.processes[n] for n in ("entry", "service", "service-engine")]
    path = highest_rate(cluster, None, processes)
    # Below the range of ephemeral ports, which the generators use up.
    port = BARE_PORT
    server = subprocess.Popen([bare, str(port), str(THREADS)])
    cluster.processes["bare"] = server
    time.sleep(0.5)
    print("bare server")
    best = highest_rate(cluster, [f"127.0.0.1:{port + i}" for i in range(THREADS)],
                        [server])
    print(f"path {path}/s, bare server {best}/s")


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
