"""Guards the entry against callers that send malformed, slow or unread requests; tests TLS."""

import http.client
import json
import os
import socket
import ssl
import subprocess
import sys
import time

import strict_http
from cluster import Cluster, wait_until

# Twice the limit that the event loop sets.
LONGEST_HEADERS = 20

HEADERS = {"x-member": "club-1", "x-work-kind": "quote"}


def body(tokens=16, stream=False):
    return json.dumps({"model": "draft", "max_tokens": tokens, "stream": stream,
                       "messages": [{"role": "user", "content": "hello"}]})


def post(connection, content, headers=HEADERS, path="/v1/chat/completions"):
    connection.request("POST", path, content, headers)
    response = connection.getresponse()
    return response.status, response.read()


def connect(entry, **extra):
    return strict_http.StrictConnection(entry["http"]["listen"], timeout=10, **extra)


def malformed_input(cluster, entry):
    """Each malformed request gets a typed refusal, which is counted; nothing is dispatched."""
    dispatched = cluster.metrics(entry)["radishroute_dispatches_sent_total"]
    refusals = 'radishroute_refusals_total{reason="malformed-request"}'
    before = cluster.metrics(entry)[refusals]
    cases = [b"", b"{", b"\xff\xfe", b"[]", b'{"model":1}', b'{"model":"draft","messages":{}}',
             b"[" * 100000]
    for content in cases:
        status, text = post(connect(entry), content)
        assert status == 400, (content[:20], status)
        problem = json.loads(text)
        assert problem["title"] == "malformed-request" and problem["outcome"] == "not-run"
    status, _ = post(connect(entry), body(), {**HEADERS, "x-deadline-ms": "soon"})
    assert status == 400
    assert cluster.metrics(entry)[refusals] == before + len(cases) + 1
    assert cluster.metrics(entry)["radishroute_dispatches_sent_total"] == dispatched


def open_raw(entry):
    host, port = entry["http"]["listen"].split(":")
    return socket.create_connection((host, int(port)), timeout=10)


def request_head(length):
    return (f"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-member: club-1\r\n"
            f"x-work-kind: quote\r\ncontent-length: {length}\r\n\r\n").encode()


def slow_sender(cluster, entry):
    """A body that arrives a byte at a time does not hold its memory for ever."""
    with open_raw(entry) as s:
        s.sendall(request_head(1000))
        started = time.monotonic()
        try:
            while time.monotonic() - started < 8:
                s.sendall(b"{")
                time.sleep(0.2)
        except OSError:
            pass
        assert time.monotonic() - started < 4
    assert cluster.metrics(entry)["radishroute_slow_senders_cut_total"] == 1


def unfinished_headers(entry):
    """Guards against connections that are held for ever by headers that never end, whether the
    caller falls silent or sends a byte now and then."""
    head = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-member: "
    with open_raw(entry) as silent, open_raw(entry) as trickling:
        started = time.monotonic()
        waiting = {silent: None, trickling: None}
        for connection in waiting:
            connection.sendall(head)
            connection.settimeout(0.25)
        while None in waiting.values() and time.monotonic() - started < LONGEST_HEADERS + 5:
            for connection in [c for c, at in waiting.items() if at is None]:
                try:
                    if connection is trickling:
                        connection.sendall(b"x")
                    if connection.recv(1) == b"":
                        waiting[connection] = time.monotonic() - started
                except TimeoutError:
                    pass
                except OSError:
                    waiting[connection] = time.monotonic() - started
        print("headers cut off after", [waiting[c] for c in (silent, trickling)])
        for cut in waiting.values():
            assert cut is not None and cut < LONGEST_HEADERS, cut


def slow_caller(cluster, entry):
    """A caller that reads nothing is cut off and its work is cancelled at the engine."""
    content = body(tokens=50000, stream=True).encode()
    with open_raw(entry) as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.sendall(request_head(len(content)) + content)
        wait_until(lambda: cluster.metrics(entry)["radishroute_slow_callers_cut_total"] == 1,
                   timeout=25, what="slow caller cut off")
    wait_until(lambda: cluster.metrics(entry)["radishroute_dispatches_cancelled_total"] >= 1,
               what="cancel of the slow caller's work")


def tls(cluster):
    certificate = os.path.join(cluster.dir, "cert.pem")
    key = os.path.join(cluster.dir, "key.pem")
    subprocess.run(["openssl", "req", "-x509", "-newkey", "ec", "-pkeyopt",
                    "ec_paramgen_curve:prime256v1", "-nodes", "-keyout", key, "-out", certificate,
                    "-days", "2", "-subj", "/CN=localhost", "-addext",
                    "subjectAltName=IP:127.0.0.1"], check=True, capture_output=True, timeout=20)
    entry = cluster.add_entry("entry-tls", peers=[cluster.entries["entry-0"]["control_listen"]],
                              http={"listen": "127.0.0.1:%d" % free_tls_port(),
                                    "tls_certificate": certificate, "tls_key": key})
    context = ssl.create_default_context(cafile=certificate)

    def answered():
        connection = http.client.HTTPSConnection(entry["http"]["listen"], timeout=5,
                                                 context=context)
        connection.response_class = strict_http.StrictResponse
        return post(connection, body(stream=True))[1].endswith(b"data: [DONE]\n\n")
    wait_until(answered, what="answer over TLS")
    offers_http2(cluster, entry, certificate)
    # A caller without TLS gets no answer from this listener.
    try:
        status, _ = post(connect(entry), body())
        assert status != 200, status
    except (OSError, http.client.HTTPException):
        pass


def offers_http2(cluster, entry, certificate):
    """Guards callers that offer HTTP/2 over TLS, as most clients do, against a protocol on which
    their headers do not arrive: several calls at once, streamed and plain, each with its own
    complete answer, the same as without TLS."""
    url = f"https://{entry['http']['listen']}/v1/chat/completions"
    calls = []
    for i in range(8):
        content = body(tokens=20 + i, stream=i % 2 == 0)
        calls.append((content, os.path.join(cluster.dir, f"h2-{i}")))
    arguments = ["curl", "--silent", "--show-error", "--no-buffer", "--parallel", "--max-time", "20"]
    for i, (content, out) in enumerate(calls):
        arguments += ["--next"] if i else []
        arguments += ["--http2", "--cacert", certificate, "--output", out, "--data", content,
                      "--header", "x-member: club-1", "--header", "x-work-kind: quote",
                      "--write-out", "%{http_version} %{http_code} %{num_connects}\n", url]
    done = subprocess.run(arguments, capture_output=True, text=True, timeout=40)
    assert done.returncode == 0, done
    lines = [line.split() for line in done.stdout.splitlines()]
    assert [line[:2] for line in lines] == [["1.1", "200"]] * len(calls), done.stdout
    for content, out in calls:
        with open(out, "rb") as file:
            assert file.read() == post(connect(cluster.entries["entry-0"]), content)[1], content
    # An answer of many TLS records, and a refusal.
    long = body(tokens=20000)
    arguments = ["curl", "--silent", "--http2", "--cacert", certificate, "--max-time", "30",
                 "--header", "x-work-kind: quote", "--data", "@-", url]
    whole = subprocess.run([*arguments, "--header", "x-member: club-1"], input=long.encode(),
                           capture_output=True, timeout=40)
    assert whole.stdout == post(connect(cluster.entries["entry-0"]), long)[1], len(whole.stdout)
    refused = subprocess.run([*arguments, "--header", "x-member: nobody"], input=long.encode(),
                             capture_output=True, timeout=40)
    assert json.loads(refused.stdout)["title"] == "unknown-member", refused


def free_tls_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def main(program):
    with Cluster(program) as cluster:
        from cluster import free_address
        entry = cluster.add_entry("entry-0", http={
            "listen": free_address(), "body_timeout_ms": 1000, "write_timeout_ms": 1000})
        cluster.add_backend("agent-0", engine_arguments=(
            "--step-us", "100", "--step-per-request-us", "0"))
        wait_until(lambda: post(connect(entry), body())[0] == 200, what="first answer")
        malformed_input(cluster, entry)
        slow_sender(cluster, entry)
        unfinished_headers(entry)
        slow_caller(cluster, entry)
        tls(cluster)


if __name__ == "__main__":
    main(sys.argv[1])
