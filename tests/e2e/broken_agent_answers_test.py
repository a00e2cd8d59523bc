"""Guards callers of an entry against answers that are broken on their way from an engine to its agent."""

import http.client
import json
import os
import re
import sys
import time
import uuid

import broken_answers
import strict_http
from cluster import Cluster, free_address, wait_until
from scripted_engine import READ_BODY, Runs, ScriptedEngine

# Above the buffers of a connection, below the limits of an entry for bodies and of a link for frames.
UPLOAD = broken_answers.LONG_UPLOAD - 4096
MAX_BODY = 3 << 20
DEADLINE_MS = "4000"
DONE = b"data: [DONE]\n\n"


def request_of(path, headers):
    """Attempts of one request have the same id but for the number at its end."""
    return "health" if path == "/health" else headers.get("x-request-id", "").rsplit("-", 1)[0]


def sound(path, _):
    body = b"data: sound\n\n" + DONE if path.endswith("/completions") else b"sound"
    kind = b"text/event-stream" if path.endswith("/completions") else b"text/plain"
    return (b"HTTP/1.1 200 OK\r\nContent-Type: " + kind +
            f"\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)


def new_key():
    """UUID of version 7."""
    milliseconds = int(time.time() * 1000)
    return str(uuid.UUID(int=(milliseconds << 80) | (7 << 76) | (2 << 62) |
                         (uuid.uuid4().int & ((1 << 62) - 1))))


class Check:
    def __init__(self, cluster):
        self.cluster, self.runs, self.wrong, self.next_number = cluster, Runs(), [], 0
        self.faults, self.admin = {}, []
        self.engines = [ScriptedEngine(f"engine-{n}", {}, self.runs, request_of, sound)
                        for n in range(2)]

    def start_agents(self, entry):
        for engine in self.engines:
            self.admin.append(free_address())
            self.cluster.start_with_settings("agent", {
                "node": f"agent-{engine.name}", "zone": "a", "traffic_listen": free_address(),
                "admin_listen": self.admin[-1], "entries": [entry["control_listen"]],
                "backend": {"address": f"127.0.0.1:{engine.server_port}", "kind": "engine",
                            "models": ["bench", "draft"]}})

    def play(self, script):
        for engine in self.engines:
            engine.scripts = {"plain": script, "completions": script}

    def request(self, kind, upload, stream=False):
        """Returns the status and the body of the answer, or the error, and the number of runs."""
        self.next_number += 1
        before = self.attempts()
        headers = {"x-member": "club-1", "x-work-kind": kind, "x-deadline-ms": DEADLINE_MS}
        if kind == "booking":
            headers.update({"idempotency-key": new_key(), "x-first-submission": "true"})
        path, body = "/v1/services/bench/plain", f"{self.next_number} ".encode() + b"x" * upload
        if stream:
            path = "/v1/chat/completions"
            body = json.dumps({"model": "draft", "stream": True, "messages": [
                {"role": "user", "content": f"{self.next_number} " + "x" * upload}]})
        try:
            got = strict_http.call(self.entry["http"]["listen"], "POST", path, body, headers, 8)[:2]
        except (OSError, http.client.HTTPException) as error:
            got = type(error).__name__
        return got, self.attempts() - before

    def attempts(self):
        return sum(n for number, n in dict(self.runs.attempts).items() if number != "health")

    def expect(self, name, got, wanted):
        if not wanted(*got):
            answer = got[0] if isinstance(got[0], str) else (got[0][0], got[0][1][:90])
            self.wrong.append(f"{name}: got {answer}, ran {got[1]} times")
            print("wrong:", self.wrong[-1], flush=True)

    def is_replaced(self, name, script, upload):
        self.play(script)
        self.expect("booking " + name, self.request("booking", upload),
                    lambda got, runs: got[0] == 502 and b'"unknown"' in got[1] and runs == 1)
        self.play(script)
        self.expect("quote " + name, self.request("quote", upload),
                    lambda got, runs: got == (200, b"sound") and runs == 2)
        fault = broken_answers.fault_of(name)
        self.faults[fault] = self.faults.get(fault, 0) + 2

    def causes_can_be_found(self):
        """An operator finds what was wrong in the log of the engine's agent."""
        logged, counted = {}, {}
        for engine, admin in zip(self.engines, self.admin):
            with open(os.path.join(self.cluster.dir, f"agent-{engine.name}.log")) as file:
                for line in file:
                    fields = dict(word.split("=", 1) for word in line.split() if "=" in word)
                    if fields.get("name") != "engine-call-failed" or fields["call"] != "request":
                        continue
                    if fields["engine"] != f"127.0.0.1:{engine.server_port}":
                        self.wrong.append(line)
                    logged[fields["fault"]] = logged.get(fields["fault"], 0) + 1
            text = strict_http.call(admin, "GET", "/metrics")[1].decode()
            for name, value in re.findall(r'broken_responses_total{fault="(.*)"} (\d+)', text):
                counted[name] = counted.get(name, 0) + int(value)
        for fault, number in self.faults.items():
            if logged.get(fault) != number or counted.get(fault, 0) < number:
                self.wrong.append(f"{fault}: {number} answers, {logged.get(fault)} lines, "
                                  f"{counted.get(fault)} counted")

    def is_passed_on(self, name, script, upload):
        self.play(script)
        for kind in ("booking", "quote"):
            self.expect(f"{kind} {name}", self.request(kind, upload),
                        lambda got, runs: got == (200, b"sound") and runs == 1)

    def is_no_whole_stream(self, name, script, upload):
        self.play(script)
        self.expect("stream " + name, self.request("quote", upload, True),
                    lambda got, _: got[0] == 200 and (b"event: error" in got[1] or
                                                      got[1].count(b"sound") == 1))


def streams():
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    wait, event = broken_answers.READ_TIME, b"data: part\n\n"
    return {
        "open": [head + b"\r\n" + event, wait, broken_answers.RESET],
        "chunks": [head + b"Transfer-Encoding: chunked\r\n\r\n" + broken_answers.chunk(event), wait,
                   broken_answers.RESET],
        "closed": [READ_BODY, head + b"\r\n" + event, broken_answers.CLOSE],
    }


def main(program):
    broken = {**broken_answers.broken_off(), **broken_answers.broken_statuses(),
              **broken_answers.broken_heads(), **broken_answers.broken_chunks(),
              **broken_answers.broken_refusals()}
    # Agents do not give requests an id that engines repeat.
    broken = {name: s for name, s in broken.items() if "two-ids" not in name}
    with Cluster(program) as cluster:
        cluster.add_controllers(["a"])
        check = Check(cluster)
        check.entry = cluster.add_entry("entry", controllers=cluster.control_addresses(), http={
            "listen": free_address(), "max_body_bytes": MAX_BODY})
        assert cluster.apply_sheet().returncode == 0
        check.start_agents(check.entry)
        check.play([READ_BODY, sound("plain", {})])
        # A request can be retried once the entry knows both agents.
        wait_until(lambda: check.request("booking", 0) == ((200, b"sound"), 1) and
                   all("plain" in e.requested for e in check.engines), 20, "answers of both engines")
        for name, script in broken_answers.sound().items():
            check.is_passed_on(name, script, UPLOAD)
        for name, script in broken.items():
            check.is_replaced(name, script, UPLOAD if name.startswith(("reset-in-", "reset-un"))
                              else 0)
        # Lines are written by a thread of their own.
        time.sleep(1)
        check.causes_can_be_found()
        for name, script in streams().items():
            check.is_no_whole_stream(name, script, UPLOAD)
    assert not check.wrong, f"{len(check.wrong)} answers"
    print("broken agent answers test passed")


if __name__ == "__main__":
    main(sys.argv[1])
