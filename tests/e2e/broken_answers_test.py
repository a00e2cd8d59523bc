"""Guards callers of a gateway against answers of engines that are broken off, have a status that no answer
may have, or a head or framing that readers understand differently, and sound answers against being rejected."""

import http.client
import json
import os
import sys
import threading
import time

import broken_answers
import strict_http
from cluster import Cluster
from gateway_test import HOST, Deployment
from scripted_engine import Runs, ScriptedEngine

KINDS = {"/book/": "non_idempotent", "/look/": "idempotent", "/once/": "streaming",
         "/resume/": "streaming"}
# Retries that a test may need; the budget has tests of its own.
ALLOWANCE = 10000
EVENTS = 4


def config():
    routes = [{"name": p, "host": HOST, "pathPrefix": p, "kind": kind, "timeoutMs": 4000,
               "service": "desk", "attempts": 2, "resumable": p == "/resume/"}
              for p, kind in KINDS.items()]
    return json.dumps({"version": 1, "routes": routes,
                       "services": [{"name": "desk", "healthPath": "/healthz"}],
                       "tenants": [{"name": "club", "apiKeys": ["key-1"]}]})


def events(first):
    return "".join(f"id: {n}\ndata: {n}\n\n" for n in range(first, EVENTS + 1)).encode()


def sound(path, headers):
    head, body = broken_answers.HEAD, b"sound"
    if path.startswith(("/once/", "/resume/")):
        head, body = broken_answers.EVENTS, events(int(headers.get("Last-Event-Id", 0)) + 1)
    number = headers.get("Request-Id", "").encode()
    return head.replace(b"{id}", number) + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class Check:
    """Sends requests to a gateway before scripted engines and collects what is wrong."""

    def __init__(self, deployment, scripts):
        self.d = deployment
        self.runs = Runs()
        self.engines = [ScriptedEngine(f"engine-{n}", scripts, self.runs,
                                       lambda _, h: h.get("Request-Id", ""), sound)
                        for n in range(2)]
        self.next_number = 0
        self.wrong = []
        self.faults = {}

    def register_forever(self):
        sequence = 0
        while True:
            sequence += 1
            for engine in self.engines:
                try:
                    self.d.register(engine, sequence)
                except (OSError, AssertionError, http.client.HTTPException):
                    pass
            time.sleep(0.5)

    def request(self, path, body=b"x"):
        """Returns the id, and the status and body, or the error, of the answer."""
        self.next_number += 1
        number = f"n{self.next_number}"
        try:
            status, text, _ = strict_http.call(
                f"127.0.0.1:{self.d.front}", "POST", path, body,
                {"Host": HOST, "Authorization": "Bearer key-1", "Request-Id": number,
                 "Deadline-Ms": "4000"}, 8)
            return number, (status, text)
        except (OSError, http.client.HTTPException) as error:
            return number, type(error).__name__

    def expect(self, name, number, got, wanted, runs):
        if got != wanted or self.runs.of(number) != runs:
            got = got if isinstance(got, str) else (got[0], got[1][:60])
            self.wrong.append(f"{name} ({number}): got {got}, ran {self.runs.of(number)} times")

    def is_replaced(self, name, upload):
        """A broken answer is a 502 for a request that may not run again, and is asked for again
        otherwise."""
        number, got = self.request("/book/" + name, upload)
        self.faults[number] = broken_answers.fault_of(name)
        self.expect("/book/" + name, number, got, (502, b'{"reason":"none"}'), 1)
        # On a connection that an earlier request has used.
        self.request("/look/whole")
        number, got = self.request("/look/" + name, upload)
        self.faults[number] = broken_answers.fault_of(name)
        self.expect("/look/" + name, number, got, (200, b"sound"), 2)

    def causes_can_be_found(self):
        """An operator finds what was wrong, and at which engine, by the request's id."""
        with open(os.path.join(self.d.dir, "gateway.log")) as file:
            lines = [line for line in file if "name=forward-attempt-failed" in line]
        logged = {}
        for line in lines:
            fields = dict(word.split("=", 1) for word in line.split() if "=" in word)
            logged[fields["request"]] = (fields["fault"], fields["backend"])
        for number, fault in self.faults.items():
            found, backend = logged.get(number, (None, None))
            if found != fault or backend not in [engine.name for engine in self.engines]:
                self.wrong.append(f"{number}: {found} of {backend} logged, not {fault}")
        text = strict_http.call(f"127.0.0.1:{self.d.probe}", "GET", "/metrics")[1].decode()
        for fault in set(self.faults.values()):
            name = f'radishroute_broken_responses_total{{fault="{fault}"}} '
            counted = next(int(line[len(name):]) for line in text.splitlines()
                           if line.startswith(name))
            if counted < list(self.faults.values()).count(fault):
                self.wrong.append(f"{name}{counted}")

    def is_cut_or_resumed(self, name, upload):
        number, got = self.request("/once/" + name, upload)
        self.expect("/once/" + name, number, got, "IncompleteRead", 1)
        number, got = self.request("/resume/" + name, upload)
        self.expect("/resume/" + name, number, got, (200, events(1)), 2)

    def is_cut(self, name, upload):
        for path in ("/book/", "/look/"):
            number, got = self.request(path + name, upload)
            self.expect(path + name, number, got, "IncompleteRead", 1)

    def is_passed_on(self, name, upload):
        for path in ("/book/", "/look/"):
            number, got = self.request(path + name, upload)
            self.expect(path + name, number, got, (200, b"sound"), 1)


def main(program):
    broken = {**broken_answers.broken_off(), **broken_answers.broken_statuses(),
              **broken_answers.broken_heads(), **broken_answers.broken_chunks(),
              **broken_answers.broken_refusals()}
    streams, long_bodies = broken_answers.broken_streams(), broken_answers.broken_long_bodies()
    scripts = {**broken, **streams, **long_bodies, **broken_answers.sound()}
    long_upload = b"x" * broken_answers.LONG_UPLOAD
    with Cluster(program) as cluster:
        d = Deployment(cluster)
        check = Check(d, scripts)
        for number in range(3):
            d.start_controller(number)
        d.start_gateway(retries={"slack": ALLOWANCE})
        assert d.control("PUT", "/config", config())[0] == 200
        threading.Thread(target=check.register_forever, daemon=True).start()
        # A request can be retried once the gateway knows both engines.
        d.wait_for("sound answers of both engines", lambda: check.request("/book/whole")[1] ==
                   (200, b"sound") and all("whole" in e.requested for e in check.engines))
        for name in broken_answers.sound():
            check.is_passed_on(name, long_upload)
        for name in broken:
            met_by_write = name.startswith(("reset-in-upload-", "reset-unread-"))
            check.is_replaced(name, long_upload if met_by_write else b"x")
        for name in streams:
            check.is_cut_or_resumed(name, long_upload)
        for name in long_bodies:
            check.is_cut(name, long_upload)
        # Lines are written by a thread of their own.
        time.sleep(1)
        check.causes_can_be_found()
    for text in check.wrong:
        print("wrong:", text)
    assert not check.wrong, f"{len(check.wrong)} answers"
    print(f"broken answers test passed: {len(scripts)} scripts")


if __name__ == "__main__":
    main(sys.argv[1])
