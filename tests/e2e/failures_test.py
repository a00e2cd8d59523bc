"""Kills, stops and restarts processes during load; every answer is checked by the load tool."""

import json
import os
import re
import signal
import sys
import threading
import time

import strict_http
from cluster import Cluster, free_address, wait_until
from relay import Relay

MARKER = "crash-the-engine"
ENTRIES = 3
AGENTS = 3


class Failures(Cluster):
    def build(self):
        self.agents = {}
        addresses = [free_address() for _ in range(ENTRIES)]
        for i, address in enumerate(addresses):
            self.add_entry(f"entry-{i}", control_listen=address,
                           peers=[a for a in addresses if a != address], drain_timeout_ms=5000)
        for i in range(AGENTS):
            self.agents[f"agent-{i}"] = self.add_backend(
                f"agent-{i}", engine_arguments=("--crash-on", MARKER))
        self.add_relayed_agent("agent-relayed")
        self.wait_for_backends()

    def add_relayed_agent(self, name):
        """An agent whose traffic links pass through a relay."""
        listen = free_address()
        self.relay = Relay(listen)
        engine = free_address()
        self.start(name + "-engine", ["engine", "--listen", engine, "--crash-on", MARKER])
        settings = {"node": name, "zone": "a", "traffic_listen": listen,
                    "traffic_advertise": self.relay.address, "admin_listen": free_address(),
                    "entries": [e["control_listen"] for e in self.entries.values()],
                    "backend": {"address": engine, "models": ["draft"]}}
        self.start_with_settings("agent", settings)
        self.agents[name] = settings

    def wait_for_backends(self):
        """Waits until each entry lists every backend server."""
        wait_until(lambda: all(self.listed(name) == set(self.agents) for name in self.entries),
                   what="backend servers listed")

    def listed(self, entry):
        """Backend servers that an entry has listed last, by its log."""
        with open(os.path.join(self.dir, entry + ".log")) as file:
            changes = re.findall(r"name=backend-(up|down) backend=(\S+)", file.read())
        last = {backend: change for change, backend in changes}
        return {backend for backend, change in last.items() if change == "up"}

    def log_count(self, name, text):
        with open(os.path.join(self.dir, name + ".log")) as file:
            return file.read().count(text)

    def start_engine(self, name):
        address = self.agents[name]["backend"]["address"]
        self.start(name + "-engine", ["engine", "--listen", address, "--crash-on", MARKER])

    def start_agent(self, name):
        self.start(name, ["agent", "--settings", os.path.join(self.dir, name + ".json")])

    def start_entry(self, name):
        self.start(name, ["entry", "--settings", os.path.join(self.dir, name + ".json")])

    def send(self, name, signal_number):
        self.processes[name].send_signal(signal_number)

    def during_load(self, action, rate=60, seconds=3, tokens=100):
        """Runs `action` 0.7 s after a load starts and returns the counts of outcomes."""
        results = []
        loader = threading.Thread(target=lambda: results.append(self.load(
            "--rate", str(rate), "--seconds", str(seconds), "--max-tokens", str(tokens))))
        loader.start()
        time.sleep(0.7)
        action()
        loader.join()
        print("  ", results[0].stdout.replace("\n", "; "), results[0].stderr, flush=True)
        counts = {k: int(v) for k, v in re.findall(r"(\w+) (\d+)[,\n]", results[0].stdout)}
        counts["total"] = rate * seconds
        return counts

    def call(self, entry, prompt, tokens=16, stream=False):
        connection = strict_http.StrictConnection(self.entries[entry]["http"]["listen"], timeout=10)
        body = json.dumps({"model": "draft", "max_tokens": tokens, "stream": stream,
                           "messages": [{"role": "user", "content": prompt}]})
        connection.request("POST", "/v1/chat/completions", body,
                           {"x-member": "club-1", "x-work-kind": "quote"})
        return connection, connection.getresponse()

    def total(self, metric):
        return sum(self.metrics(e).get(metric, 0) for e in self.entries.values())


def expect_all_whole(counts):
    assert counts["whole"] == counts["total"], counts


def silent_agent(cluster):
    expect_all_whole(cluster.during_load(lambda: cluster.send("agent-0", signal.SIGSTOP)))
    assert cluster.total("radishroute_links_silent_total") > 0
    cluster.send("agent-0", signal.SIGCONT)


def killed_engine(cluster):
    expect_all_whole(cluster.during_load(
        lambda: cluster.send("agent-1-engine", signal.SIGKILL)))
    cluster.start_engine("agent-1")
    wait_until(lambda: cluster.log_count("agent-1", "engine-up") >= 2, what="engine seen up again")


def stopped_engine(cluster):
    # The agent's heartbeats go on; only the progress of its streams stops.
    counts = cluster.during_load(
        lambda: cluster.send("agent-1-engine", signal.SIGSTOP), seconds=2)
    cluster.send("agent-1-engine", signal.SIGCONT)
    # Streams move on when they make no progress, plain answers when a probe gets no response.
    expect_all_whole(counts)
    assert cluster.metrics(cluster.agents["agent-1"])["radishroute_engine_stalls_total"] > 0


def killed_agent(cluster):
    expect_all_whole(cluster.during_load(lambda: cluster.send("agent-2", signal.SIGKILL)))
    cluster.start_agent("agent-2")


def agents_restarted(cluster):
    def restart():
        for name in cluster.agents:
            assert cluster.stop(name) == 0, name
            cluster.start_agent(name)
    expect_all_whole(cluster.during_load(restart, seconds=7))


def entries_restarted(cluster):
    def restart():
        for name in list(cluster.entries):
            assert cluster.stop(name) == 0, name
            cluster.start_entry(name)
            time.sleep(0.5)
    counts = cluster.during_load(restart, seconds=8)
    assert counts["wrong"] == counts["broken"] == counts["failed"] == 0, counts
    # Like a balancer, the load tool sends what a stopping entry did not run to the next entry.
    assert counts["moved"] > 0, counts
    expect_all_whole(counts)


def caller_hangs_up(cluster):
    before = cluster.total("radishroute_dispatches_cancelled_total")
    connection, response = cluster.call("entry-0", "long", tokens=100000, stream=True)
    assert response.read(100)
    response.close()
    connection.close()
    wait_until(lambda: cluster.total("radishroute_dispatches_cancelled_total") == before + 1,
               what="cancel after the caller hung up")


def crashing_request(cluster):
    engines = [name for name in cluster.processes if name.endswith("-engine")]
    statuses = []

    def send_and_resend():
        for entry in ("entry-0", "entry-1", "entry-2", "entry-0"):
            connection, response = cluster.call(entry, MARKER)
            statuses.append((response.status, json.loads(response.read())["title"]))
            connection.close()
    counts = cluster.during_load(send_and_resend)
    dead = [name for name in engines if cluster.processes[name].poll() is not None]
    print("  ", statuses, dead)
    assert len(dead) == 2, f"{len(dead)} engines crashed"
    assert statuses[0] == (502, "engine-crashed"), statuses
    assert all(s == (422, "quarantined") for s in statuses[1:]), statuses
    # All other requests of the same batches are answered.
    expect_all_whole(counts)
    for name in dead:
        cluster.start_engine(name.removesuffix("-engine"))


def crash_takes_agent(cluster):
    """The agent dies with its engine, so only the entries can tell of the crash."""
    # Two engines have been restarted; without them the crash would leave no backend server.
    cluster.wait_for_backends()
    done = threading.Event()
    dead = []

    def kill_with_engine():
        while not done.is_set():
            for name in cluster.agents:
                if name not in dead and cluster.processes[name + "-engine"].poll() is not None:
                    cluster.send(name, signal.SIGKILL)
                    dead.append(name)
            time.sleep(0.001)
    watcher = threading.Thread(target=kill_with_engine)
    watcher.start()
    statuses = []
    for entry in ("entry-0", "entry-1", "entry-2", "entry-0"):
        connection, response = cluster.call(entry, "second " + MARKER)
        statuses.append((response.status, json.loads(response.read())["title"]))
        connection.close()
    done.set()
    watcher.join()
    print("  ", statuses, dead)
    assert len(dead) == 2, dead
    assert all(s == (422, "quarantined") for s in statuses[1:]), statuses
    for name in dead:
        cluster.start_engine(name)
        cluster.start_agent(name)


def cut_links(cluster):
    """First the open links of one agent fall silent while new ones work; then all are cut."""
    before = cluster.total("radishroute_links_replaced_total")
    counts = cluster.during_load(cluster.relay.silence)
    assert cluster.total("radishroute_links_replaced_total") > before
    # Nothing runs a second time: the work in progress moves to the new link.
    expect_all_whole(counts)
    expect_all_whole(cluster.during_load(cluster.relay.cut))
    cluster.relay.heal()


def main(program):
    with Failures(program) as cluster:
        cluster.build()
        started = time.monotonic()
        for scenario in (cut_links, silent_agent, killed_engine, stopped_engine, killed_agent,
                         caller_hangs_up, crashing_request,
                         crash_takes_agent, agents_restarted, entries_restarted):
            print(scenario.__name__, f"{time.monotonic() - started:.1f} s", flush=True)
            scenario(cluster)
            time.sleep(1)
        print(f"{time.monotonic() - started:.1f} s")


if __name__ == "__main__":
    main(sys.argv[1])
