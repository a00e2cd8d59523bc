"""The last tenant is taken out of the configuration; its key, and keys that never were, then run."""

import http.client
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import (CONFIG_APPLY, HOST, STABILITY, TROUBLE, CannotRun, Deployment,  # noqa: E402
                      Engine, run, send_answer)

REQUESTS = 10


def config(version, tenants):
    return json.dumps({
        "version": version,
        "routes": [{"name": "booking", "host": HOST, "pathPrefix": "/booking/",
                    "kind": "non_idempotent", "timeoutMs": 1000, "service": "desk", "attempts": 1,
                    "public": False}],
        "services": [{"name": "desk", "healthPath": "/healthz", "maxConns": 100}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": tenants})


def case(record):
    runs = []

    def answer(engine, connection, method, target, headers, body):
        runs.append(headers["Request-Id"])
        record.line(f"engine runs {headers['Request-Id']}, Tenant {headers.get('Tenant')}")
        send_answer(connection, headers, 200, b"done", {"Response-Signature": "s"})

    def book(d, request, key):
        connection = http.client.HTTPConnection(d.edges[0], d.front, timeout=5)
        try:
            connection.request("POST", "/booking/1", body=b"x", headers={
                "Host": HOST, "Request-Id": request, "Deadline-Ms": "1000",
                "Authorization": "Bearer " + key})
            response = connection.getresponse()
            response.read()
        finally:
            connection.close()
        record.line(f"client sent {request} with key {key}: {response.status}")
        return response.status

    with Deployment(record) as d:
        club = {"name": "club", "apiKeys": ["key-1"], "priority": 1}
        other = {"name": "other", "apiKeys": ["key-2"], "priority": 1}
        if d.call("PUT", "/config", config(1, [club]))[0] != 200:
            raise CannotRun("the first configuration was not accepted")
        d.add_engine(Engine(d, "i-desk-1", "desk", answer))
        d.wait_ready()
        time.sleep(STABILITY + 1)
        if book(d, "before-1", "key-1") != 200 or book(d, "before-2", "never-held") != 401:
            raise CannotRun("the first configuration is not in force")
        # Without the trouble, another tenant remains, so that the list does not become empty.
        status, _ = d.call("PUT", "/config", config(2, [] if TROUBLE else [other]))
        record.line(f"operator takes the tenant club away: {status}")
        if status != 200:
            # A refusal would be another reading of the page and breaks no rule here.
            return True
        time.sleep(CONFIG_APPLY + 0.5)
        for number in range(REQUESTS):
            book(d, f"dropped-{number}", "key-1")
            book(d, f"never-{number}", "never-held")
    dropped = [r for r in runs if r.startswith("dropped")]
    never = [r for r in runs if r.startswith("never")]
    record.line(f"{len(dropped)} of {REQUESTS} requests ran with the dropped key, {len(never)} of "
                f"{REQUESTS} with a key that no configuration ever held")
    return not dropped and not never


run(FOLDER, case)
