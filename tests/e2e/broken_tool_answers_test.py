"""Guards the readers of answers beside the path of requests: a sidecar's reports, an agent's orders,
operators' commands and the load generator must not take a broken answer for a whole one."""

import http.client
import json
import os
import sys

import broken_answers
import invariants
import strict_http
from cluster import Cluster, free_address, wait_until
from scripted_engine import CLOSE, HOLD, READ_BODY, Runs, ScriptedEngine

STATUS = json.dumps({"config": {"version": 1, "author": "a", "change_id": "c"}}).encode()
REPORT = json.dumps({"stage": "hybrid", "models": [], "busy": False, "sequence": 0, "queued": 0,
                     "active": 0, "kvUsed": 0, "kvTotal": 1, "handles": 0, "born": 1}).encode()


def answers(body, status=b"200"):
    """Broken answers whose body could be read all the same, by the name of their fault."""
    head = b"HTTP/1.1 " + status + b" OK\r\nContent-Type: application/json\r\n"
    length = f"Content-Length: {len(body)}\r\n".encode()
    return {
        "closed": [READ_BODY, head + f"Content-Length: {len(body) + 1}\r\n\r\n".encode() + body, CLOSE],
        "reset": [READ_BODY, head + b"\r\n" + body, broken_answers.READ_TIME, broken_answers.RESET],
        "invalid-status": [READ_BODY, head.replace(status, b"000") + length + b"\r\n" + body, HOLD],
        "invalid-head": [READ_BODY, head + length + b"X Any: v\r\n\r\n" + body, HOLD],
        "invalid-framing": [READ_BODY, head + b"Transfer-Encoding: chunked\r\n\r\n" +
                            broken_answers.chunk(body) + b"0\r\nX Any: v\r\n\r\n", HOLD],
    }


def sound(body):
    return lambda path, headers: (b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
                                  f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


def every_time(path, headers):
    """A new id for each request, so that each one gets the script."""
    every_time.last += 1
    return str(every_time.last)


every_time.last = 0


def strict_client_accepts_whole_answers_only():
    """Guards the tests that judge answers by this client."""
    broken = {**broken_answers.broken_off(), **broken_answers.broken_statuses(),
              **broken_answers.broken_heads(), **broken_answers.broken_chunks()}
    # Two ids are for readers that know what an id is.
    broken = {name: script for name, script in broken.items() if "two-ids" not in name}
    scripts = {**broken, **broken_answers.sound()}
    server = ScriptedEngine("server", scripts, Runs(), every_time, sound(b""))
    for name in scripts:
        try:
            got = strict_http.call(f"127.0.0.1:{server.server_port}", "POST", "/" + name, b"x",
                                   timeout=2)[:2]
        except (OSError, http.client.HTTPException) as error:
            got = type(error).__name__
        assert (got == (200, b"sound")) == (name not in broken), (name, got)


def commands_fail(cluster):
    """Guards operators against the state that a broken answer tells."""
    server = ScriptedEngine("controller", {}, Runs(), every_time, sound(STATUS))
    cluster.controllers["scripted"] = {"admin_listen": f"127.0.0.1:{server.server_port}"}
    assert cluster.operator("status", "--json", "--timeout-ms", "2000").returncode == 0
    for fault, script in answers(STATUS).items():
        server.scripts = {"status": script}
        done = cluster.operator("status", "--json", "--timeout-ms", "300")
        assert done.returncode != 0, (fault, done.stdout)
    del cluster.controllers["scripted"]


def load_counts_no_answer(cluster):
    """Guards the tool that judges answers against refusals and answers that were broken."""
    refusal = json.dumps({"type": "urn:radishroute:problem:queue-full", "outcome": "not-run"}).encode()
    plan = {"seconds": 0.5, "arrivals": "fixed", "kinds": [
        {"name": "quote", "model": "draft", "rate": 10, "max_tokens": 4, "timeout_ms": 1000}]}
    for fault, script in answers(refusal, b"429").items():
        server = ScriptedEngine("entry", {"completions": script}, Runs(), every_time, sound(b""))
        target = f"127.0.0.1:{server.server_port}"
        records = invariants.read_records(cluster.run_plan(plan, [target], name=fault)[2])
        outcomes = {record["outcome"] for record in records}
        assert records and outcomes == {"unknown"}, (fault, outcomes)


def sidecar_reports_nothing(cluster):
    """Guards the leader's view of an engine against reports that were broken."""
    for fault, script in answers(REPORT).items():
        engine = ScriptedEngine("app", {"report": script}, Runs(), every_time, sound(REPORT))
        name = "sidecar-" + fault
        cluster.start_with_settings("sidecar", {
            "node": name, "zone": "a", "engine": f"127.0.0.1:{engine.server_port}",
            "controllers": [free_address()], "link_port": 1})
        line = f"call=report request=\"\" engine=127.0.0.1:{engine.server_port} fault={fault}"
        wait_until(lambda: line in log_of(cluster, name), what=f"{name} logs {fault}")
        cluster.kill(name)


def log_of(cluster, name):
    with open(os.path.join(cluster.dir, name + ".log")) as file:
        return file.read()


def orders_are_repeated(cluster):
    """Guards a fenced order against an answer that says that it was carried out, and is broken."""
    cluster.add_controllers(["a"])
    for fault, script in answers(b"{}").items():
        runs = Runs()
        engine = ScriptedEngine("app", {"orders": script}, runs, lambda path, _: path, sound(b"{}"))
        name = "agent-" + fault
        cluster.start_with_settings("agent", {
            "node": name, "zone": "a", "traffic_listen": free_address(),
            "admin_listen": free_address(), "controllers": cluster.control_addresses(),
            "entries": [free_address()], "backend": {
                "address": f"127.0.0.1:{engine.server_port}", "models": ["draft"],
                "order_settle_ms": 200, "order_timeout_ms": 5000, "checks_fencing": True}})
        done = cluster.operator("order", "--backend", name, "--json", "--timeout-ms", "20000",
                                "--load-model", "m-1", "--change-id", name, timeout=60)
        assert done.returncode == 0 and json.loads(done.stdout)["state"] == "done", done
        assert runs.of("/v1/orders") == 2, (fault, runs.attempts)
        assert "call=order" in log_of(cluster, name) and f"fault={fault}" in log_of(cluster, name)
        cluster.kill(name)


def main(program):
    strict_client_accepts_whole_answers_only()
    with Cluster(program) as cluster:
        commands_fail(cluster)
        load_counts_no_answer(cluster)
        sidecar_reports_nothing(cluster)
        orders_are_repeated(cluster)
    print("broken tool answers test passed")


if __name__ == "__main__":
    main(sys.argv[1])
