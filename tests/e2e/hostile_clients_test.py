"""Plays clients outside the limits against a gateway and a controller that run as processes.

Each form checks that the process lives, that its peak memory and its descriptors stay under a fixed
bound, and that one ordinary request is answered afterwards.
"""

import json
import os
import selectors
import socket
import sys
import threading
import time

import strict_http
from cluster import Cluster
from gateway_test import HOST, Deployment, Engine, call, config, start_engine

MIB = 1 << 20
BODY = 4 * MIB
MEMORY_MB = 64
DESCRIPTORS = 300
# The settings count megabytes of 1,000,000 bytes, the system counts KiB.
MAX_PEAK_KIB = MEMORY_MB * 1000000 // 1024

# Clients write until all of them are blocked or cut off for this long.
STUCK_SECONDS = 1.0
HOLD_SECONDS = 1.0


class LargeEngine(Engine):
    """Answers with long bodies, or late, if the path says so."""

    def do_POST(self):
        if "/large" in self.path:
            self.rfile.read(int(self.headers.get("content-length", 0)))
            self.send_response(200)
            self.send_header("Request-Id", self.headers.get("Request-Id", ""))
            self.send_header("Content-Length", str(3 * MIB))
            self.end_headers()
            try:
                self.wfile.write(b"r" * (3 * MIB))
            except OSError:
                self.close_connection = True
            return
        if "/late" in self.path:
            time.sleep(1)
        try:
            super().do_POST()
        except OSError:
            self.close_connection = True


class Crowd:
    """Connections that each write given bytes side by side and read nothing."""

    def __init__(self, address, payloads):
        self.selector = selectors.DefaultSelector()
        self.sockets = []
        for payload in payloads:
            client = socket.socket()
            client.settimeout(2)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            try:
                client.connect(address)
            except OSError:
                client.close()
                continue
            client.setblocking(False)
            self.sockets.append(client)
            if payload:
                self.selector.register(client, selectors.EVENT_WRITE, iter(payload))
        self.rest = {}

    def write(self):
        last = time.time()
        while self.selector.get_map() and time.time() - last < STUCK_SECONDS:
            for key, _ in self.selector.select(0.1):
                if self.step(key):
                    last = time.time()

    def step(self, key):
        """Writes a part; whether anything was taken."""
        part = self.rest.pop(key.fd, None) or next(key.data, None)
        if part is None:
            self.selector.unregister(key.fileobj)
            return False
        try:
            taken = key.fileobj.send(part)
        except BlockingIOError:
            taken = 0
        except OSError:
            self.selector.unregister(key.fileobj)
            return False
        if taken < len(part):
            self.rest[key.fd] = memoryview(part)[taken:]
        return taken > 0

    def close(self):
        self.selector.close()
        for client in self.sockets:
            client.close()


class Watch:
    """Highest number of descriptors of a process, read ten times a second."""

    def __init__(self, pid):
        self.pid = pid
        self.highest = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.stopped.wait(0.1):
            try:
                self.highest = max(self.highest, len(os.listdir(f"/proc/{self.pid}/fd")))
            except OSError:
                return

    def stop(self):
        self.stopped.set()
        self.thread.join()
        return self.highest


def peak_kib(pid):
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    raise AssertionError("no peak memory")


def head(method, path, extra=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer key-1\r\n"
            f"Request-Id: h\r\nDeadline-Ms: 4000\r\n{extra}\r\n").encode()


def announced(method, path, length, sent, part=64 * 1024):
    """A body of a length given in the head, of which `sent` bytes follow."""
    yield head(method, path, f"Content-Length: {length}\r\n")
    block = b"x" * part
    for start in range(0, sent, part):
        yield block[:min(part, sent - start)]


def chunked(method, path, sent, chunk, ended=False):
    yield head(method, path, "Transfer-Encoding: chunked\r\n")
    one = f"{chunk:x}\r\n".encode() + b"x" * chunk + b"\r\n"
    together = max(1, 32768 // chunk)
    for _ in range(sent // (chunk * together)):
        yield one * together
    if ended:
        yield b"0\r\n\r\n"


def endless_head(method, path):
    yield f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n".encode() + b"a:\r\n" * 4000


def bodies(method, path):
    """Forms that differ in the bodies they send. Most of the clients of each stop short."""
    return {
        "bodies that stop short": [announced(method, path, BODY, BODY - 1) for _ in range(60)],
        "bodies sent whole": [announced(method, path, BODY, BODY) for _ in range(40)],
        "bodies in small parts": [
            announced(method, path, BODY, BODY // 8 if n % 4 else BODY, 2000) for n in range(60)],
        "announced bodies never sent": [announced(method, path, BODY, 0) for _ in range(200)],
        "large chunks": [
            chunked(method, path, BODY - 65536, 65536, n % 8 == 0) for n in range(60)],
        "small chunks": [chunked(method, path, 200000, 1, n % 8 == 0) for n in range(60)],
        "announced bodies over the limit": [
            announced(method, path, 1 << 30, 2 * MIB) for _ in range(60)],
        "chunked bodies over the limit": [
            chunked(method, path, 32 * MIB, 65536) for _ in range(30)],
        "heads that never end": [endless_head(method, path) for _ in range(300)],
        "silent connections": [None] * 400,
    }


def gateway_forms():
    forms = bodies("POST", "/book/1")
    small = head("POST", "/book/late", "Content-Length: 0\r\n")
    forms["pipelined requests"] = [[small * 3000] for _ in range(150)]
    forms["responses that are not read"] = [
        [head("POST", "/book/large", "Content-Length: 0\r\n") * 4] for _ in range(60)]
    return forms


def controller_forms():
    # Not a document, so that none of the bodies changes the configuration.
    return bodies("PUT", "/config")


def leader_forms():
    """Forms for the leader: other controllers answer with a short redirection."""
    return {
        "pipelined requests": [[head("GET", "/config") * 3000] for _ in range(150)],
        "responses that are not read": [[head("GET", "/config") * 20] for _ in range(60)],
    }


def long_config(version):
    """A configuration of some 200 kB, so that its readers can leave much unread."""
    document = json.loads(config(version))
    for number in range(1000):
        document["routes"].append({**document["routes"][0], "pathPrefix": f"/extra-{number}/",
                                   "name": f"extra-{number}"})
    return json.dumps(document)


class Limited(Deployment):
    """The deployment with budgets of memory and descriptors for gateway and controllers."""

    def settings(self, name, values):
        return super().settings(
            name, {**values, "memory_mb": MEMORY_MB, "max_descriptors": DESCRIPTORS})

    def restart(self, name, start):
        process = self.cluster.processes[name]
        process.kill()
        process.wait()
        start()

    def restart_gateway(self):
        self.restart("gateway", self.start_gateway)
        self.wait_for("a ready gateway", lambda: call(self.probe, "GET", "/readyz")[0] == 200)
        self.wait_for("a response", self.gateway_answers)

    def restart_controller(self):
        self.restart("controller-0", lambda: self.start_controller(0, first_start=False))
        self.wait_for("a controller", self.controller_answers)

    def leader(self):
        """Number of the controller that answers itself."""
        def status(number):
            try:
                return call_at(self.hosts[number], self.call_port, "/config")
            except OSError:
                return 0
        found = []
        self.wait_for("a leader", lambda: found.extend(
            n for n in range(3) if status(n) == 200) or found)
        return found[0]

    def gateway_answers(self):
        return self.request("/book/0")[0] == 200

    def controller_answers(self):
        return self.control_at(self.hosts[0], "GET", "/config", None)[0] == 200


def call_at(host, port, path):
    connection = strict_http.StrictConnection(host, port, timeout=2)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    finally:
        connection.close()


def play(d, name, process_name, address, payloads, answers):
    """Returns what was violated."""
    process = d.cluster.processes[process_name]
    start = peak_kib(process.pid)
    watch = Watch(process.pid)
    crowd = Crowd(address, payloads)
    try:
        crowd.write()
        time.sleep(HOLD_SECONDS)
    finally:
        crowd.close()
        descriptors = watch.stop()
    if process.poll() is not None:
        print(f"{process_name}: {name}: ended with {process.returncode}", flush=True)
        return ["ended"]
    answered = True
    try:
        d.wait_for("an ordinary request after " + name, answers, 20)
    except AssertionError:
        answered = False
    if process.poll() is not None:
        return ["ended"]
    peak = peak_kib(process.pid)
    print(f"{process_name}: {name}: peak {start} -> {peak} KiB (limit {MAX_PEAK_KIB}), "
          f"descriptors {descriptors} (limit {DESCRIPTORS}), answered {answered}", flush=True)
    wrong = []
    if peak > MAX_PEAK_KIB:
        wrong.append(f"peak {peak} KiB")
    if descriptors > DESCRIPTORS:
        wrong.append(f"{descriptors} descriptors")
    if not answered:
        wrong.append("no answer")
    return wrong


def keeps_within_limits(d, process_name, address, forms, restart, answers):
    """Guards against a process that runs out of memory or descriptors on hostile clients."""
    failed = []
    for name, payloads in forms.items():
        restart()
        for wrong in play(d, name, process_name, address, payloads, answers):
            failed.append(f"{process_name}: {name}: {wrong}")
    return failed


class Registrations:
    """Repeats the registration of an engine as engines do."""

    def __init__(self, d, engine):
        self.d, self.engine = d, engine
        self.sequence = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped.wait(0.5):
            self.sequence += 1
            try:
                self.d.register(self.engine, self.sequence)
            except AssertionError:
                pass


def main(program):
    with Cluster(program) as cluster:
        d = Limited(cluster)
        engine = start_engine("engine-1", LargeEngine)
        # Connections that the gateway resets are expected.
        engine.handle_error = lambda *unused: None
        for number in range(3):
            d.start_controller(number)
        d.start_gateway()
        assert d.control("PUT", "/config", config(1))[0] == 200
        registrations = Registrations(d, engine)
        failed = keeps_within_limits(d, "gateway", ("127.0.0.1", d.front), gateway_forms(),
                                     d.restart_gateway, d.gateway_answers)
        assert d.control("PUT", "/config", long_config(2))[0] == 200
        failed += keeps_within_limits(d, "controller-0", (d.hosts[0], d.call_port),
                                      controller_forms(), d.restart_controller,
                                      d.controller_answers)
        leader = d.leader()
        failed += keeps_within_limits(
            d, f"controller-{leader}", (d.hosts[leader], d.call_port), leader_forms(),
            lambda: None, lambda: d.control("GET", "/config")[0] == 200)
        registrations.stopped.set()
        registrations.thread.join()
    assert not failed, "\n".join(failed)
    print("hostile clients test passed")


if __name__ == "__main__":
    main(sys.argv[1])
