"""Runs controllers and a gateway as processes against stand-ins of engines, through HTTP."""

import http.server
import json
import os
import signal
import socket
import sys
import tempfile
import threading
import time

import strict_http
from cluster import Cluster, free_port

HOST = "shop.example"


class Engine(http.server.BaseHTTPRequestHandler):
    """Answers with what it got, and breaks off streams if it is told to."""

    protocol_version = "HTTP/1.1"
    seen = []

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("content-length", 0)))
        self.seen.append((self.path, dict(self.headers), body, self.server.name))
        if "/stream/" in self.path:
            self.stream()
            return
        answer = json.dumps({"path": self.path, "body": body.decode()}).encode()
        self.send_response(200)
        self.send_header("Request-Id", self.headers.get("Request-Id", ""))
        self.send_header("Response-Signature", "sig-" + self.server.name)
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer)

    def stream(self):
        start = int(self.headers.get("Last-Event-Id", 0)) + 1
        self.send_response(200)
        self.send_header("Request-Id", self.headers.get("Request-Id", ""))
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Connection", "close")
        self.end_headers()
        for number in range(start, 6):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if number == 3 and start == 1:
                self.wfile.write(event[:7])
                self.wfile.flush()
                # A reset, so that the stream does not look complete.
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                           b"\x01\x00\x00\x00\x00\x00\x00\x00")
                self.close_connection = True
                return
            self.wfile.write(event)
            self.wfile.flush()
        self.close_connection = True

    def log_message(self, *unused):
        pass


class EngineServer(http.server.ThreadingHTTPServer):
    # With the default of 5, connections of a burst wait for a repeated opening packet.
    request_queue_size = 128


def start_engine(name, handler=Engine):
    server = EngineServer(("127.0.0.1", 0), handler)
    server.name = name
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def call(port, method, path, body=None, headers=None):
    return strict_http.call(f"127.0.0.1:{port}", method, path, body, headers)


def config(version, prefix="/book/"):
    def route(at, kind):
        return {"name": at, "host": HOST, "pathPrefix": at, "kind": kind, "timeoutMs": 4000,
                "service": "desk", "attempts": 2, "resumable": kind == "streaming"}
    return json.dumps({"version": version,
                       "routes": [route(prefix, "non_idempotent"), route("/stream/", "streaming")],
                       "services": [{"name": "desk", "healthPath": "/healthz"}],
                       "tenants": [{"name": "club", "apiKeys": ["key-1"]}]})


class Deployment:
    """Three controllers on loopback addresses of their own, one link port, and a gateway."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.hosts = ["127.0.1.1", "127.0.1.2", "127.0.1.3"]
        self.link_port, self.call_port, self.admin_port = free_port(), free_port(), free_port()
        self.front, self.probe = free_port(), free_port()
        self.dir = tempfile.mkdtemp(prefix="radishroute-gateway-")
        self.controllers = [f"{h}:{self.call_port}" for h in self.hosts]
        self.zones = []

    def settings(self, name, values):
        path = os.path.join(self.dir, name + ".json")
        common = {"node": name, "zone": "a", "secret": "s",
                  "log": {"file": os.path.join(self.dir, name + ".log")}}
        with open(path, "w") as file:
            json.dump({**common, **values}, file)
        return path

    def start_controller(self, number, first_start=True):
        host = self.hosts[number]
        data = os.path.join(self.dir, f"data-{number}")
        os.makedirs(data, exist_ok=True)
        path = self.settings(f"controller-{number}", {
            "role": "controller", "admin_token": "t", "data": data,
            "admin_listen": f"{host}:{self.admin_port}",
            "control_listen": f"{host}:{self.link_port}",
            "calls": {"listen": f"{host}:{self.call_port}", "controllers": self.controllers,
                      "first_start": first_start, "tolerated_losses": 1,
                      "zones": self.zones}})
        self.cluster.start(f"controller-{number}", ["controller", "--settings", path])

    def start_gateway(self, **extra):
        path = self.settings("gateway", {
            "role": "gateway", "drain_timeout_ms": 6000,
            "http": {"listen": f"127.0.0.1:{self.front}",
                     "probe_listen": f"127.0.0.1:{self.probe}", "drain_notice_ms": 500},
            "controllers": self.controllers, "link_port": self.link_port, **extra})
        self.cluster.start("gateway", ["gateway", "--settings", path])

    def control(self, method, path, body=None):
        """Calls controllers in turn until one answers, and follows redirections."""
        end = time.time() + 20
        while time.time() < end:
            for host in self.hosts:
                try:
                    status, answer = self.control_at(host, method, path, body)
                except OSError:
                    continue
                if status < 500:
                    return status, answer
            time.sleep(0.1)
        raise AssertionError(f"{method} {path}: no controller answered")

    def control_at(self, host, method, path, body):
        for _ in range(3):
            connection = strict_http.StrictConnection(host, self.call_port, timeout=2)
            connection.request(method, path, body=body)
            response = connection.getresponse()
            answer = response.read()
            connection.close()
            if response.status != 307:
                return response.status, answer
            host = response.headers["Location"].split("/")[2].split(":")[0]
        return 503, b""

    def register(self, server, sequence, state="ready", zone="a", slots=4):
        body = json.dumps({"service": "desk", "address": f"127.0.0.1:{server.server_port}",
                           "zone": zone, "version": "v1", "slots": slots, "state": state,
                           "sequence": sequence, "born": 1000})
        status, _ = self.control("PUT", "/instances/" + server.name, body)
        assert status == 200, status

    def request(self, path, key="key-1", number="1", body=b"x"):
        return call(self.front, "POST", path, body,
                    {"Host": HOST, "Authorization": "Bearer " + key, "Request-Id": number,
                     "Deadline-Ms": "4000", "Tenant": "forged", "X-Extra": "kept"})

    def voters(self, number):
        """Voters that a controller knows, itself among them; zero if it is none."""
        connection = strict_http.StrictConnection(self.hosts[number], self.admin_port, timeout=2)
        connection.request("GET", "/voters", headers={"Authorization": "Bearer t"})
        state = json.loads(connection.getresponse().read())
        connection.close()
        voters = [r["id"] for r in state["replicas"] if r["voting"]]
        return len(voters) if state["voter"] in voters else 0

    def wait_for(self, what, check, seconds=10):
        end = time.time() + seconds
        while time.time() < end:
            try:
                if check():
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise AssertionError("in vain: " + what)


def serves_faithfully(d):
    """Guards against requests and responses that change on their way."""
    status, body, headers = d.request("/book/7?x=%20y", number="a1")
    assert status == 200, (status, body)
    assert json.loads(body) == {"path": "/book/7?x=%20y", "body": "x"}, body
    assert headers["Response-Signature"].startswith("sig-"), headers.items()
    path, seen, _, name = Engine.seen[-1]
    assert seen["Tenant"] == "club" and seen["X-Extra"] == "kept", seen
    assert seen["Target-Instance"] == name and "Authorization" not in seen, seen
    assert d.request("/book/7", key="stolen")[0] == 401
    assert d.request("/none/7")[0] == 404


def resumes_streams(d):
    """Guards against a stream with a missing or repeated event after its engine broke off."""
    status, body, _ = d.request("/stream/1", number="a2")
    expected = "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, 6)).encode()
    assert status == 200 and body == expected, body


def keeps_configuration(d):
    """Guards against a configuration that is lost or goes back when the leader dies."""
    assert d.control("PUT", "/config", config(5))[0] == 200
    assert d.control("PUT", "/config", config(3, "/old/"))[0] == 200
    assert d.control("PUT", "/config", config(9)[:50])[0] == 400
    for victim in ("controller-0", "controller-1", "controller-2"):
        d.cluster.processes[victim].kill()
        d.cluster.processes[victim].wait()
        status, body = d.control("GET", "/config")
        assert status == 200 and json.loads(body)["version"] == 5, body
        d.start_controller(int(victim[-1]), first_start=False)
        d.wait_for("a restarted controller", lambda: d.control_at(
            d.hosts[int(victim[-1])], "GET", "/config", None)[0] == 200)
    assert d.request("/old/1")[0] == 404


def replaces_a_lost_disk(d):
    """Guards against a controller without its disk that votes as its former self."""
    number = 1
    d.cluster.processes["controller-1"].kill()
    d.cluster.processes["controller-1"].wait()
    for root, _, files in os.walk(os.path.join(d.dir, "data-1")):
        for name in files:
            os.remove(os.path.join(root, name))
    d.start_controller(number, first_start=False)
    # Until the new replica votes, the group has lost one of its tolerated losses.
    d.wait_for("three voters", lambda: d.voters(number) == 3)
    d.cluster.processes["controller-2"].kill()
    d.cluster.processes["controller-2"].wait()
    status, body = d.control("GET", "/config")
    assert status == 200 and json.loads(body)["version"] == 5, body


def hands_out_large_documents(d):
    """Guards against a response that stalls when its reader takes it in many small parts."""
    document = json.loads(config(7))
    for number in range(6000):
        document["routes"].append({**document["routes"][0], "pathPrefix": f"/extra-{number}/",
                                   "name": f"extra-{number}" * 4})
    text = json.dumps(document).encode()
    assert len(text) > 1000000
    assert d.control("PUT", "/config", text)[0] == 200
    for host in d.hosts:
        with socket.socket() as reader:
            reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            reader.settimeout(5)
            try:
                reader.connect((host, d.call_port))
            except OSError:
                continue
            reader.sendall(b"GET /config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            received = b""
            while part := reader.recv(65536):
                received += part
            if received.startswith(b"HTTP/1.1 200"):
                assert received.endswith(text), len(received)
                return
    raise AssertionError("no controller answered")


def drains(d, engines):
    """Guards against an engine that leaves and is still sent requests."""
    d.register(engines[0], 90, "draining")
    d.wait_for("one engine left", lambda: all(
        d.request("/book/1")[0] == 200 and Engine.seen[-1][3] == engines[1].name
        for _ in range(4)), 3)
    gateway = d.cluster.processes["gateway"]
    gateway.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    assert d.request("/book/1")[0] == 200
    gateway.send_signal(signal.SIGTERM)
    time.sleep(0.1)
    assert call(d.probe, "GET", "/readyz")[0] == 503
    assert gateway.wait(timeout=8) == 0


def main(program):
    with Cluster(program) as cluster:
        d = Deployment(cluster)
        engines = [start_engine("engine-1"), start_engine("engine-2")]
        for number in range(3):
            d.start_controller(number)
        d.start_gateway()
        assert d.control("PUT", "/config", config(1))[0] == 200
        for engine in engines:
            d.register(engine, 1)
        d.wait_for("a ready gateway", lambda: call(d.probe, "GET", "/readyz")[0] == 200)
        # A stream can be resumed once the gateway knows both.
        d.wait_for("responses of both engines", lambda: d.request("/book/0")[0] == 200 and
                   {name for *_, name in Engine.seen} == {engine.name for engine in engines})
        serves_faithfully(d)
        resumes_streams(d)
        keeps_configuration(d)
        replaces_a_lost_disk(d)
        for engine in engines:
            d.register(engine, 50)
        hands_out_large_documents(d)
        drains(d, engines)
    print("gateway test passed")


if __name__ == "__main__":
    main(sys.argv[1])
