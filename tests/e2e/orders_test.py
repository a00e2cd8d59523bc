"""Fenced orders with real processes: carried out, repeated, raced, across restarts of the agent and
loss or pause of the leader, at engines that check fencing tokens and engines that ignore them."""

import json
import os
import signal
import sys
import threading
import time

import strict_http
from cluster import Cluster, free_address, wait_until

SETTLE_MS = 1500


def order(cluster, backend, *arguments, timeout_ms=20000):
    """Runs `order` against all controllers and returns the finished process."""
    return cluster.operator("order", "--backend", backend, "--json",
                            "--timeout-ms", str(timeout_ms), *arguments, timeout=60)


def done(result):
    assert result.returncode == 0, (result.stdout, result.stderr)
    report = json.loads(result.stdout)
    assert report["state"] == "done", report
    return report["token"]


def direct(cluster, engine, token, name):
    """Sends an order past the agent; returns the HTTP status."""
    body = json.dumps({"order": "set_version", "token": token, "name": name}).encode()
    return strict_http.call(cluster.engines[engine], "POST", "/v1/orders", body)[0]


def status(cluster):
    result = cluster.operator("status", "--json")
    assert result.returncode == 0, result.stderr
    return json.loads(result.stdout)["orders"]


def log_has(cluster, name, text):
    with open(os.path.join(cluster.dir, name + ".log")) as file:
        return text in file.read()


def add_agent(cluster, name, fencing, weight_store):
    engine = cluster.add_engine(name + "-engine", [
        "--fencing", fencing, "--model", "draft", "--weight-store", weight_store])
    settings = {
        "node": name, "zone": "a", "traffic_listen": free_address(),
        "admin_listen": free_address(), "controllers": cluster.control_addresses(),
        "entries": [e["control_listen"] for e in cluster.entries.values()],
        "backend": {"address": engine, "models": ["draft"], "order_settle_ms": SETTLE_MS,
                    "order_timeout_ms": 5000, "checks_fencing": fencing == "check"}}
    cluster.start_with_settings("agent", settings)
    return settings


def check_kind(cluster, fencing):
    name = f"agent-{fencing}"
    # No weight store listens, so that an order with weights fails.
    settings = add_agent(cluster, name, fencing, free_address())
    first = done(order(cluster, name, "--load-model", "m-1", "--change-id", f"{fencing}-1"))
    # Guards against a resend that makes a second order, or that hides a conflict.
    again = done(order(cluster, name, "--load-model", "m-1", "--change-id", f"{fencing}-1"))
    assert again == first, (first, again)
    other = order(cluster, name, "--load-model", "m-2", "--change-id", f"{fencing}-1")
    assert other.returncode == 4, other
    # Guards against an entry that does not route to a model loaded by an order.
    wait_until(lambda: "whole 5," in cluster.load(
        "--model", "m-1", "--rate", "5", "--seconds", "1").stdout,
        what="routing to the loaded model")
    # Guards against a failure that an operator cannot tell from an order still under way.
    failed = order(cluster, name, "--load-model", "m-3", "--bytes", "1000")
    assert failed.returncode == 1, failed
    assert json.loads(failed.stdout)["state"] == "weights-unavailable", failed
    # Guards against a race in which both operators are told that they won.
    results = {}

    def race(role):
        results[role] = order(cluster, name, "--change-role", role, "--change-id",
                              f"{fencing}-race")

    threads = [threading.Thread(target=race, args=(r,)) for r in ("prefill", "decode")]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    assert sorted(r.returncode for r in results.values()) == [0, 4], results
    # Guards against a restarted agent that takes an order before it knows the fence.
    cluster.kill(name)
    pending = threading.Thread(target=lambda: results.update(
        restart=order(cluster, name, "--set-version", "2", "--change-id", f"{fencing}-2")))
    pending.start()
    time.sleep(0.5)
    cluster.start_with_settings("agent", settings)
    pending.join()
    second = done(results["restart"])
    assert second > first
    assert log_has(cluster, name, "order-fence-learned")
    # The stand-in itself shows which kind it is: only one that checks refuses an old token.
    assert direct(cluster, name + "-engine", first, "old") == (409 if fencing == "check" else 200)
    # Guards against an agent that counts a stale order of the engine as carried out.
    assert done(order(cluster, name, "--set-version", "3")) > second
    return settings


def check_leader_loss(cluster, settings):
    """Kills the leader while an order is pending, and pauses one with an order that gets old."""
    name = settings["node"]
    cluster.kill(name)
    results = {}
    change = f"{name}-leader"

    def send():
        results["order"] = order(cluster, name, "--set-version", "4", "--change-id", change)

    sender = threading.Thread(target=send)
    sender.start()
    wait_until(lambda: any(o["change_id"] == change for o in status(cluster)), what="pending")
    lost = cluster.leader()
    cluster.kill(lost)
    cluster.start_with_settings("agent", settings)
    sender.join()
    done(results["order"])
    cluster.add_controller(lost)
    wait_until(lambda: cluster.leader() is not None, what="a leader")
    # An old leader is paused with a pending order and woken after a newer one was carried out.
    cluster.kill(name)
    paused_change = f"{name}-paused"
    early = order(cluster, name, "--set-version", "5", "--change-id", paused_change,
                  timeout_ms=1000)
    assert early.returncode == 1, early
    old = cluster.leader()
    cluster.processes[old].send_signal(signal.SIGSTOP)
    try:
        cluster.start_with_settings("agent", settings)
        fifth = done(order(cluster, name, "--set-version", "5", "--change-id", paused_change))
        sixth = done(order(cluster, name, "--set-version", "6"))
        assert sixth > fifth
    finally:
        cluster.processes[old].send_signal(signal.SIGCONT)
    time.sleep(2)
    seventh = done(order(cluster, name, "--set-version", "7"))
    assert seventh > sixth
    finished = [o for o in status(cluster) if o["backend"] == name]
    # The one with weights is the only one that failed.
    assert [o["name"] for o in finished if o["state"] != "done"] == ["m-3"], finished
    assert [o["token"] for o in finished] == sorted(o["token"] for o in finished)
    assert not log_has(cluster, name, "invariant-violated")
    # The engine answered the orders in the order of their tokens over all lives of the agent.
    with open(os.path.join(cluster.dir, name + ".log")) as file:
        tokens = [int(part.split("=")[1]) for line in file if "engine-order-finished" in line
                  for part in line.split() if part.startswith("token=")]
    assert tokens == sorted(tokens), tokens


def check_agent_loss(cluster):
    """Kills the agent while its engine, which ignores tokens, loads weights for an order."""
    store, name = free_address(), "agent-slow"
    cluster.start("weights", ["engine", "--kind", "weights", "--listen", store,
                              "--weight-rate", "1000"])
    settings = add_agent(cluster, name, "ignore", store)
    results = {}
    sender = threading.Thread(target=lambda: results.update(
        load=order(cluster, name, "--load-model", "m-4", "--bytes", "1500")))
    sender.start()
    # The load takes 1.5 s after the first settling time.
    time.sleep(SETTLE_MS / 1000 + 0.8)
    cluster.kill(name)
    restarted = time.monotonic()
    cluster.start_with_settings("agent", settings)
    sender.join()
    done(results["load"])
    # Guards against an order that overtakes the one still on its way to the engine.
    assert time.monotonic() - restarted >= SETTLE_MS / 1000 + 1.5


def main():
    with Cluster(sys.argv[1]) as cluster:
        cluster.add_controllers(["a", "a", "a"])
        cluster.add_entry("entry", controllers=cluster.control_addresses())
        assert cluster.apply_sheet().returncode == 0
        for fencing in ("check", "ignore"):
            settings = check_kind(cluster, fencing)
            check_leader_loss(cluster, settings)
        check_agent_loss(cluster)
        # Guards against an order for an unknown backend server that looks carried out.
        nobody = order(cluster, "nobody", "--load-model", "x", timeout_ms=1000)
        assert nobody.returncode == 1, nobody
        assert json.loads(nobody.stdout)["state"] == "pending", nobody
        assert order(cluster, "nobody").returncode == 2
    print("orders_test: passed")


if __name__ == "__main__":
    main()
