"""Measures detection and recovery times, gossip traffic and idle processor time on loopback.

usage: failures.py PROGRAM [times | sizes]
"""

import json
import os
import re
import signal
import socket
import statistics
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tests", "e2e"))

from cluster import Cluster, free_address, wait_until  # noqa: E402
from relay import Relay  # noqa: E402


class Measured(Cluster):
    def add_entries(self, count):
        addresses = [free_address() for _ in range(count)]
        for i, address in enumerate(addresses):
            self.add_entry(f"entry-{i}", control_listen=address,
                           peers=[a for a in addresses if a != address])

    def add_agent(self, name, engine, **extra):
        settings = {"node": name, "zone": "a", "traffic_listen": free_address(),
                    "admin_listen": free_address(),
                    "entries": [e["control_listen"] for e in self.entries.values()],
                    "backend": {"address": engine, "models": ["draft"]}, **extra}
        self.start_with_settings("agent", settings)
        return settings

    def add_engine(self):
        engine = free_address()
        self.start(f"engine-{engine}", ["engine", "--listen", engine, "--step-us", "5000"])
        return engine

    def log_text(self, name):
        with open(os.path.join(self.dir, name + ".log")) as file:
            return file.read()

    def wait_for_backends(self, count):
        wait_until(lambda: all(len(set(re.findall(r"backend-up.*?backend=(\S+)",
                                                  self.log_text(name)))) >= count
                               for name in self.entries), 60, "backend servers known")

    def cpu_seconds(self, name):
        with open(f"/proc/{self.processes[name].pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def longest_gap(entry, action):
    """Longest pause in a stream during which `action` makes its link fail."""
    host, port = entry["http"]["listen"].split(":")
    body = json.dumps({"model": "draft", "max_tokens": 800, "stream": True,
                       "messages": [{"role": "user", "content": str(time.time())}]}).encode()
    with socket.create_connection((host, int(port)), timeout=20) as s:
        s.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-member: club-1\r\n"
                  b"x-work-kind: restoration\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
        last, gap, done, text = time.monotonic(), 0.0, False, b""
        started = last
        while not text.endswith(b"[DONE]\n\n\r\n0\r\n\r\n") and b"[DONE]" not in text[-200:]:
            data = s.recv(65536)
            if not data:
                break
            now = time.monotonic()
            if done:
                gap = max(gap, now - last)
            last, text = now, text + data
            if not done and now - started > 0.3:
                action()
                done = True
        assert b"[DONE]" in text[-200:], text[-300:]
    return gap


def times(program):
    gaps, leaving = [], []
    with Measured(program) as cluster:
        cluster.add_entries(1)
        listen = free_address()
        relay = Relay(listen)
        cluster.add_agent("agent-0", cluster.add_engine(), traffic_listen=listen,
                          traffic_advertise=relay.address)
        cluster.wait_for_backends(1)
        for _ in range(8):
            gaps.append(longest_gap(cluster.entries["entry-0"], relay.silence))
    print("silent link, gap in a stream that moves to a second link, s:", describe(gaps))
    with Measured(program) as cluster:
        cluster.add_entries(7)
        engine = cluster.add_engine()
        for i in range(12):
            cluster.add_agent(f"agent-{i}", engine)
        cluster.wait_for_backends(12)
        for i in range(12):
            stopped = time.time()
            cluster.processes[f"agent-{i}"].send_signal(signal.SIGTERM)
            for name in cluster.entries:
                def left():
                    return re.search(rf"backend-leaving.*backend=agent-{i}\b",
                                     cluster.log_text(name))
                while not left():
                    assert time.time() - stopped < 10
                    time.sleep(0.002)
            leaving.append(time.time() - stopped)
    print("leaving server known on all 7 entries, s:", describe(leaving))
    print("directory of a restarted entry complete, s:", describe(restarts(program)))


def restarts(program):
    """Times from the start of an entry until it knows all 12 backend servers."""
    found = []
    with Measured(program) as cluster:
        cluster.add_entries(5)
        engine = cluster.add_engine()
        for i in range(12):
            cluster.add_agent(f"agent-{i}", engine)
        cluster.wait_for_backends(12)
        for name in cluster.entries:
            cluster.stop(name)
            before, started = len(cluster.log_text(name)), time.time()
            cluster.start(name, ["entry", "--settings", f"{cluster.dir}/{name}.json"])
            while len(set(re.findall(r"backend-up.*?backend=(\S+)",
                                     cluster.log_text(name)[before:]))) < 12:
                assert time.time() - started < 20
                time.sleep(0.002)
            found.append(time.time() - started)
    return found


def describe(values):
    return (f"median {statistics.median(values):.3f}, max {max(values):.3f}, "
            f"n {len(values)}")


def sizes(program, seconds=20):
    for entries, agents in ((4, 8), (8, 24), (16, 48)):
        with Measured(program) as cluster:
            cluster.add_entries(entries)
            engine = cluster.add_engine()
            settings = {f"agent-{i}": cluster.add_agent(f"agent-{i}", engine)
                        for i in range(agents)}
            cluster.wait_for_backends(agents)
            time.sleep(12)
            every = {**cluster.entries, **settings}

            def sample():
                return {n: (cluster.metrics(s)["radishroute_link_bytes_sent_total"],
                            cluster.cpu_seconds(n)) for n, s in every.items()}
            before, t0 = sample(), time.monotonic()
            time.sleep(seconds)
            after, elapsed = sample(), time.monotonic() - t0

            def rates(names, index):
                return [(after[n][index] - before[n][index]) / elapsed for n in names]
            print(f"entries {entries}, agents {agents}: "
                  f"entry sends mean {statistics.mean(rates(cluster.entries, 0)):.0f} "
                  f"max {max(rates(cluster.entries, 0)):.0f} B/s; "
                  f"agent sends {statistics.mean(rates(settings, 0)):.0f} B/s; processor "
                  f"entry mean {100 * statistics.mean(rates(cluster.entries, 1)):.2f}% "
                  f"max {100 * max(rates(cluster.entries, 1)):.2f}%, "
                  f"agent mean {100 * statistics.mean(rates(settings, 1)):.2f}% of a core",
                  flush=True)


if __name__ == "__main__":
    what = sys.argv[2:] or ["times", "sizes"]
    if "times" in what:
        times(sys.argv[1])
    if "sizes" in what:
        sizes(sys.argv[1])
