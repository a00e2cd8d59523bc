"""Sends what clients within the limits send to a gateway with small budgets."""

import sys
import threading
import time

import strict_http
from cluster import Cluster
from gateway_test import HOST, Deployment, call, config, start_engine

MIB = 1 << 20
# The smallest gateway that is planned for.
MEMORY_MB = 112
DESCRIPTORS = 2870
# More than the requests in progress, so that only the budgets could refuse one.
SLOTS = 64


class Small(Deployment):
    """The deployment with a gateway of that size."""

    def settings(self, name, values):
        limits = {"memory_mb": MEMORY_MB, "max_descriptors": DESCRIPTORS}
        return super().settings(name, {**values, **(limits if name == "gateway" else {})})


def send(connection, body, extra=None, chunked=False):
    connection.request("POST", "/book/1", body, {
        "Host": HOST, "Authorization": "Bearer key-1", "Request-Id": "n", "Deadline-Ms": "4000",
        **(extra or {})}, encode_chunked=chunked)
    response = connection.getresponse()
    response.read()
    return response.status


def connect(d):
    return strict_http.StrictConnection("127.0.0.1", d.front, timeout=10)


def keeps_idle_connections(d):
    """Guards against connections that are closed although they are idle within their time."""
    kept = [connect(d) for _ in range(300)]
    for connection in kept:
        assert send(connection, b"x") == 200
        # http.client would open a new connection instead of failing.
        connection.auto_open = 0
    time.sleep(3)
    for connection in kept:
        assert send(connection, b"x") == 200
        connection.close()


def takes_long_requests(d):
    """Guards against heads and bodies of legal length that are refused."""
    parts = [b"x" * 65536] * 64
    long_head = {"X-Long": "h" * 15000}
    # The stand-in of the engine takes 100 headers.
    many_headers = {f"a{n}": "v" * 150 for n in range(80)}
    assert send(connect(d), b"x" * (4 * MIB)) == 200
    assert send(connect(d), iter(parts), {"Transfer-Encoding": "chunked"}, True) == 200
    assert send(connect(d), b"x", long_head) == 200
    assert send(connect(d), b"x", many_headers) == 200


def takes_them_together(d):
    """Guards against requests of legal length that are refused beside each other."""
    statuses = []

    def client(body):
        connection = connect(d)
        for _ in range(3):
            statuses.append(send(connection, body))
        connection.close()

    bodies = [b"x" * (4 * MIB)] * 2 + [b"x" * 100000] * 30
    threads = [threading.Thread(target=client, args=(body,)) for body in bodies]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert statuses == [200] * (3 * len(bodies)), statuses


def refuses_nothing(d):
    """Guards against an eviction or refusal that the clients did not notice."""
    metrics = call(d.probe, "GET", "/metrics")[1].decode()
    for name in ("connections_evicted", "requests_over_budget"):
        lines = [line for line in metrics.splitlines() if name in line and not line.startswith("#")]
        assert lines and all(float(line.split()[-1]) == 0 for line in lines), lines


def main(program):
    with Cluster(program) as cluster:
        d = Small(cluster)
        engine = start_engine("engine-1")
        for number in range(3):
            d.start_controller(number)
        d.start_gateway()
        assert d.control("PUT", "/config", config(1))[0] == 200
        stopped = threading.Event()

        def register():
            sequence = 1
            while not stopped.wait(0.5):
                sequence += 1
                d.register(engine, sequence, slots=SLOTS)

        registrations = threading.Thread(target=register)
        registrations.start()
        try:
            d.wait_for("a ready gateway", lambda: call(d.probe, "GET", "/readyz")[0] == 200)
            d.wait_for("a first response", lambda: d.request("/book/0")[0] == 200)
            takes_long_requests(d)
            takes_them_together(d)
            keeps_idle_connections(d)
            refuses_nothing(d)
        finally:
            stopped.set()
            registrations.join()
    print("budget test of normal clients passed")


if __name__ == "__main__":
    main(sys.argv[1])
