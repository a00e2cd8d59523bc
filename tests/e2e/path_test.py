"""Guards the whole path: an answer that is lost, mixed up or cut, also while an entry drains."""

import json
import signal
import socket
import sys
import threading
import time

import strict_http
from cluster import Cluster, wait_until


def request_succeeds(cluster):
    return cluster.load("--rate", "5", "--seconds", "1").returncode == 0


def call(connection, method="POST", path="/v1/chat/completions"):
    connection.request(method, path, json.dumps({
        "model": "draft", "max_tokens": 4, "messages": [{"role": "user", "content": "hello"}]}),
        {"x-member": "club-1", "x-work-kind": "quote"})
    response = connection.getresponse()
    return response, response.read()


def draining_is_announced(cluster):
    """Guards against a drain that a balancer learns of only from lost connections."""
    address = cluster.entries["entry-1"]["http"]["listen"]
    kept = [strict_http.StrictConnection(address, timeout=5) for _ in range(2)]
    for connection in kept:
        assert call(connection)[0].status == 200
    assert call(strict_http.StrictConnection(address, timeout=5), "GET", "/v1/health")[0].status == 200
    cluster.processes["entry-1"].send_signal(signal.SIGTERM)
    time.sleep(0.15)
    # New connections and kept ones get a typed refusal, which closes them.
    health, _ = call(strict_http.StrictConnection(address, timeout=5), "GET", "/v1/health")
    assert health.status == 503, health.status
    for connection in (kept[0], strict_http.StrictConnection(address, timeout=5)):
        response, text = call(connection)
        problem = json.loads(text)
        assert response.status == 503 and problem["title"] == "draining", problem
        assert problem["outcome"] == "not-run", problem
        assert response.getheader("connection") == "close", response.getheaders()
    # The listener closes before kept connections do.
    wait_until(lambda: refuses(address), 5, "closed listener")
    assert json.loads(call(kept[1])[1])["title"] == "draining"
    assert cluster.processes["entry-1"].wait(timeout=10) == 0


def refuses(address):
    host, port = address.split(":")
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except ConnectionRefusedError:
        return True
    return False


def main(program):
    with Cluster(program) as cluster:
        for i in range(2):
            cluster.add_entry(f"entry-{i}")
        for i in range(2):
            cluster.add_backend(f"agent-{i}")
        wait_until(lambda: request_succeeds(cluster), what="first answer")

        result = cluster.load("--rate", "200", "--seconds", "3")
        print(result.stdout, result.stderr)
        assert "whole 600, wrong 0, refused 0, failed 0, broken 0, unreachable 0" in result.stdout

        # Only entry-0 is drained while requests are in progress on it; none may be cut.
        entries, cluster.entries = cluster.entries, {"entry-0": cluster.entries["entry-0"]}
        results = []
        loader = threading.Thread(target=lambda: results.append(
            cluster.load("--rate", "50", "--seconds", "1", "--max-tokens", "200")))
        loader.start()
        time.sleep(0.7)
        code = cluster.stop("entry-0")
        loader.join()
        print(results[0].stdout, results[0].stderr)
        assert code == 0, f"entry exited with {code}"
        assert "wrong 0" in results[0].stdout and "broken 0" in results[0].stdout
        cluster.entries = {"entry-1": entries["entry-1"]}
        assert request_succeeds(cluster)
        draining_is_announced(cluster)


if __name__ == "__main__":
    main(sys.argv[1])
