"""Starts the project's programs with the commands and templates of the deploy file, on loopback.

Shared by the scripts of the second review. Engines, clients and the operator are small stand-ins in
the process of the script. Everything is ended by `Deployment.__exit__`.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "shop.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the small deployments, in seconds.
CONFIG_APPLY = 2.0
STABILITY = 3.0
HEARTBEAT = 1.2


# Memory and descriptors of the machines of the small deployments.
LIMITS = {"gateway": {"memoryMb": 260, "maxFds": 4100},
          "controller": {"memoryMb": 256, "maxFds": 4096},
          "sidecar": {"memoryMb": 128, "maxFds": 2048}}


def free_port():
    """A port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def find(values, path):
    for part in path.split("."):
        values = values[int(part)] if isinstance(values, list) else values[part]
    return values


def fill(template, values):
    """Fills in a template of the deploy file; knows what the three templates use."""
    def section(match):
        items = find(values, match[1])
        parts = [match[2].replace("{{@}}", key).replace("{{,}}", "," if i + 1 < len(items) else "")
                 for i, key in enumerate(items)]
        return "".join(parts)
    text = re.sub(r"\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def value(match):
        got = find(values, match[1])
        return json.dumps(got) if match[2] or isinstance(got, bool) else str(got)
    return re.sub(r"\{\{([a-zA-Z0-9_.]+)(\|json)?\}\}", value, text)


class CannotRun(Exception):
    pass


class Deployment:
    """Three controllers and some gateways; each machine has a loopback address of its own."""

    def __init__(self, record, gateways=1):
        with open(os.path.join(TOP, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.record = record
        self.dir = tempfile.mkdtemp(prefix="radishroute-review-")
        self.control, self.front, self.ready = free_port(), free_port(), free_port()
        self.internal = [free_port(), free_port()]
        base = 1 + os.getpid() % 200
        self.cores = [f"127.{base}.1.{n}" for n in range(1, 4)]
        self.edges = [f"127.{base}.2.{n}" for n in range(1, gateways + 1)]
        self.server_host = f"127.{base}.3.1"
        self.processes, self.engines = {}, []
        self.stopping = False

    def __enter__(self):
        if not os.path.exists(os.path.join(TOP, "target/radishroute")):
            raise CannotRun("target/radishroute is not built")
        for host in self.cores:
            self.start("controller", host, first=True)
        for host in self.edges:
            self.start("gateway", host, first=True)
        threading.Thread(target=self.beat, daemon=True).start()
        return self

    def __exit__(self, *unused):
        self.stopping = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(timeout=10)
        shutil.rmtree(self.dir, ignore_errors=True)

    def start(self, role, host, first, app=""):
        name = f"{role}-{host}"
        data = os.path.join(self.dir, "data-" + name)
        os.makedirs(data, exist_ok=True)
        values = {
            "nodeName": name, "zone": "zone-a", "zones": {"zone-a": "region"}, "ip": host,
            "internalPorts": self.internal, "dataDir": data, "firstStart": first, "app": app,
            "seeds": [f"{core}:{self.control}" for core in self.cores],
            "listen": {"front": f"{host}:{self.front}", "ready": f"{host}:{self.ready}",
                       "control": f"{host}:{self.control}"},
            "limits": LIMITS[role],
            "faultTolerance": {"machines": 1},
            "bounds": {"graceS": 8, "retryBudgetRatio": 0.2, "budgetWindowS": 10},
        }
        with open(os.path.join(TOP, self.roles[role]["template"])) as file:
            text = fill(file.read(), values)
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w") as file:
            file.write(text)
        words = self.roles[role]["run"].split()
        words = [path if w == "/etc/radishroute/node.toml" else w for w in words]
        log = open(os.path.join(self.dir, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            words, cwd=TOP, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        return self.processes[name]

    def call(self, method, path, body=None, seconds=20):
        """Calls controllers in turn, as operators and engines do, until one answers."""
        end = time.time() + seconds
        while time.time() < end:
            for host in self.cores:
                try:
                    status, answer = self.call_at(host, method, path, body)
                except (OSError, http.client.HTTPException):
                    continue
                if status < 500:
                    return status, answer
            time.sleep(0.1)
        raise CannotRun(f"{method} {path}: no controller answered")

    def call_at(self, host, method, path, body=None):
        port = self.control
        for _ in range(3):
            connection = http.client.HTTPConnection(host, port, timeout=1)
            try:
                connection.request(method, path, body=body,
                                   headers={"Content-Type": "application/json"})
                response = connection.getresponse()
                answer = response.read()
                location = response.headers.get("Location", "")
            finally:
                connection.close()
            if response.status != 307:
                return response.status, answer
            host, port = location.split("/")[2].split(":")
            port = int(port)
        return 503, b""

    def call_direct(self, host):
        """Status of a read of the configuration at one controller; only the leader answers 200."""
        connection = http.client.HTTPConnection(host, self.control, timeout=1)
        try:
            connection.request("GET", "/config")
            return connection.getresponse().status
        finally:
            connection.close()

    def start_sidecar(self, number, engine):
        return self.start("sidecar", f"{self.cores[0].rsplit('.', 2)[0]}.4.{number + 1}", first=True,
                          app=engine)

    def add_engine(self, engine):
        self.engines.append(engine)
        self.put_instance(engine)

    def put_instance(self, engine, state="ready"):
        engine.sequence += 1
        body = json.dumps({"service": engine.service, "address": engine.address,
                           "zone": "zone-a", "version": "v1", "slots": 6, "state": state,
                           "coldRemainingMs": 0, "sequence": engine.sequence,
                           "born": engine.born})
        return self.call("PUT", "/instances/" + engine.name, body)[0]

    def beat(self):
        while not self.stopping:
            time.sleep(HEARTBEAT)
            for engine in list(self.engines):
                if engine.beats and not self.stopping:
                    try:
                        self.put_instance(engine)
                    except (CannotRun, OSError):
                        pass

    def wait_ready(self, seconds=15):
        end = time.time() + seconds
        while time.time() < end:
            try:
                if all(self.is_ready(host) for host in self.edges):
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise CannotRun("the gateways did not become ready")

    def is_ready(self, host):
        connection = http.client.HTTPConnection(host, self.ready, timeout=1)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        finally:
            connection.close()


class Engine:
    """An engine that answers each request by `answer(engine, connection, head, body)`."""

    born_before = 0

    def __init__(self, deployment, name, service, answer):
        self.name, self.service, self.answer = name, service, answer
        self.sequence, self.beats = 0, True
        self.born = max(int(time.time() * 1000), Engine.born_before + 1)
        Engine.born_before = self.born
        self.listener = socket.create_server((deployment.server_host, 0), backlog=128)
        self.address = "{}:{}".format(*self.listener.getsockname())
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = connection.makefile("rb")
        try:
            while line := reader.readline():
                method, target, _ = line.decode().split()
                headers = http.client.parse_headers(reader)
                body = reader.read(int(headers.get("Content-Length", 0)))
                if headers.get("Target-Instance", self.name) != self.name:
                    send_answer(connection, headers, 421, b"", {"Instance-Id": self.name})
                    continue
                self.answer(self, connection, method, target, headers, body)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()


def send_answer(connection, request_headers, status, body, more=None):
    head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n"
    head += f"Request-Id: {request_headers.get('Request-Id', '')}\r\n"
    for name, value in (more or {}).items():
        head += f"{name}: {value}\r\n"
    connection.sendall(head.encode() + b"\r\n" + body)


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.time()
        self.lock = threading.Lock()

    def line(self, text):
        with self.lock:
            self.file.write(f"{time.time() - self.began:8.3f} s  {text}\n")
            self.file.flush()


def run(folder, case):
    """Runs `case(record)`, which returns whether the rule held; exits as issue 42 asks."""
    # Ends the processes that were started also if the script itself is stopped.
    signal.signal(signal.SIGTERM, lambda *unused: sys.exit(2))
    record = Record(folder)
    record.line(f"TROUBLE={'1' if TROUBLE else '0'}")
    try:
        held = case(record)
    except (CannotRun, OSError) as error:
        record.line(f"could not run: {error}")
        sys.exit(2)
    record.line("the rule held" if held else "THE RULE WAS BROKEN")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
