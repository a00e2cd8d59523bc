"""Stand-ins and a small deployment on loopback for the scripts of the review.

The settings of the processes are the templates of deploy/, filled in as DEPLOY.md tells. Each
machine has a loopback address of its own, and all machines share the ports of a role, as on the
platform.
"""

import asyncio
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
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "radishroute")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "revokeEverywhere": False, "revokeMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 90, "recoveryS": 12,
    "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "requireFence": True}


class CouldNotRun(Exception):
    pass


def fill(text, fields):
    """Fills a template: {{a}}, {{a.b}}, {{a.0}} and {{a|json}}."""
    def value(match):
        name, _, how = match.group(1).partition("|")
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        if how == "json" or isinstance(found, dict):
            return json.dumps(found)
        if isinstance(found, bool):
            return "true" if found else "false"
        if isinstance(found, list):
            return ",".join(str(item) for item in found)
        return str(found)
    return re.sub(r"\{\{([^{}]+)\}\}", value, text)


def free_ports(hosts, count):
    """Ports that are free on all of the addresses."""
    ports = []
    candidates = random.sample(range(15000, 32000), 400)
    for port in candidates:
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CouldNotRun("no free ports")


class Record:
    """Writes what was sent, answered and run, with seconds from the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()


class Deployment:
    """Machines of one deployment; each has a loopback address."""

    def __init__(self, record, zones=("a", "b", "c"), gateways=3):
        self.record = record
        self.dir = tempfile.mkdtemp(prefix="radishroute-review-")
        self.zones = list(zones)
        block = random.randint(20, 120)
        self.core_hosts = [f"127.{block}.{i + 1}.1" for i in range(3)]
        self.edge_hosts = [f"127.{block}.{i % 3 + 1}.{20 + i}" for i in range(gateways)]
        self.engine_net = f"127.{block}"
        ports = free_ports(self.core_hosts + self.edge_hosts, 6)
        self.internal = [ports[0], ports[1]]
        self.control, self.front, self.ready, self.app = ports[2:6]
        self.seeds = [f"{host}:{self.control}" for host in self.core_hosts]
        self.processes = {}
        self.started = set()

    def fields(self, name, host, zone, listen):
        machine_class = name.split("-")[0]
        return {
            "nodeName": name, "role": {"core": "controller", "edge": "gateway",
                                       "side": "sidecar"}[machine_class],
            "machineClass": machine_class, "ip": host, "zone": zone, "region": "r",
            "internalPorts": self.internal, "seeds": self.seeds,
            "firstStart": name not in self.started, "dataDir": os.path.join(self.dir, name),
            "heartbeatMs": 1200, "listen": listen,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS}

    def start(self, role, name, fields):
        with open(os.path.join(ROOT, "deploy", role + ".json")) as file:
            text = fill(file.read(), fields)
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w") as file:
            file.write(text)
        log = open(os.path.join(self.dir, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            [PROGRAM, role, "--settings", path], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log)
        log.close()
        self.started.add(name)
        self.record(f"start {name}")

    def start_core(self, i):
        host, zone = self.core_hosts[i], self.zones[i % len(self.zones)]
        name = f"core-{i}"
        self.start("controller", name,
                   self.fields(name, host, zone, {"control": f"{host}:{self.control}"}))

    def start_edge(self, i):
        host, zone = self.edge_hosts[i], self.zones[i % len(self.zones)]
        name = f"edge-{i}"
        listen = {"front": f"{host}:{self.front}", "ready": f"{host}:{self.ready}"}
        self.start("gateway", name, self.fields(name, host, zone, listen))

    def start_side(self, i, engine, zone):
        name = f"side-{i}"
        fields = self.fields(name, engine.rsplit(":", 1)[0], zone, {})
        fields["app"] = engine
        self.start("sidecar", name, fields)

    def start_all(self):
        for i in range(len(self.core_hosts)):
            self.start_core(i)
        for i in range(len(self.edge_hosts)):
            self.start_edge(i)

    def signal(self, name, number):
        self.record(f"signal {signal.Signals(number).name} {name}")
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def ended(self):
        """Processes that have ended by themselves."""
        return {n: p.returncode for n, p in self.processes.items() if p.poll() is not None}

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


async def read_head(reader):
    """Reads a head; returns its first line and its headers, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(address, method, path, body=None, timeout=1.0):
    """One call of the control plane; returns status, headers and body, or None."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                          f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                          "Connection: close\r\n\r\n").encode() + data)
            head = await read_head(reader)
            if head is None:
                return None
            return int(head[0].split()[1]), head[1], await read_body(reader, head[1])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def control(addresses, method, path, body=None, seconds=15.0, first=None):
    """Calls the control plane as operators and engines do: follows a redirection twice, and moves
    on to another node after a failure, with increasing backoff. Returns the node and the answer."""
    end = time.monotonic() + seconds
    wait = 0.1
    order = list(addresses)
    random.shuffle(order)
    if first is not None:
        order = [first] + [a for a in order if a != first]
    attempt = 0
    while time.monotonic() < end:
        node = order[attempt % len(order)]
        attempt += 1
        answer = None
        for _ in range(3):
            answer = await call(node, method, path, body)
            if answer is None or answer[0] != 307:
                break
            node = answer[1]["location"].split("//")[1].split("/")[0]
        if answer is not None and answer[0] < 500 and answer[0] not in (307, 408, 429):
            return node, answer
        await asyncio.sleep(wait)
        wait = min(wait * 2, 1.0)
    return None, None


class Engine:
    """A sound engine: registers, answers health checks, and runs requests by `serve`."""

    def __init__(self, deployment, index, service, zone, seeds, slots=12, beats=1.2):
        self.id = f"i-{index}-{random.getrandbits(32):08x}"
        self.service, self.zone, self.slots, self.beats = service, zone, slots, beats
        self.record = deployment.record
        self.seeds = seeds
        host = f"{deployment.engine_net}.9.{index + 1}"
        self.address = f"{host}:{deployment.app}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.server = None
        self.beat_task = None

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.on_connection, host, int(port))
        self.beat_task = asyncio.create_task(self.beat())

    def registration(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}

    async def beat(self):
        while True:
            await control(self.seeds, "PUT", f"/instances/{self.id}", self.registration(), 3.0)
            await asyncio.sleep(self.beats)

    async def on_connection(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, path, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if path == "/healthz":
                    writer.write((f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n"
                                  "Content-Length: 0\r\n\r\n").encode())
                    continue
                target = head[1].get("target-instance")
                if target is not None and target != self.id:
                    writer.write((f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: "
                                  f"{head[1].get('request-id', '')}\r\nNot-Executed: 1\r\n"
                                  f"At-Server: {self.id}\r\nContent-Length: 0\r\n\r\n").encode())
                    continue
                self.running += 1
                try:
                    keep = await self.serve(method, path, head[1], body, writer)
                finally:
                    self.running -= 1
                if not keep:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def serve(self, method, path, headers, body, writer):
        raise NotImplementedError

    async def stop(self):
        if self.beat_task:
            self.beat_task.cancel()
        if self.server:
            self.server.close()


async def wait_ready(deployment, seconds=20.0):
    """Waits until all gateways say that they are ready."""
    end = time.monotonic() + seconds
    for host in deployment.edge_hosts:
        while True:
            answer = await call(f"{host}:{deployment.ready}", "GET", "/readyz")
            if answer is not None and answer[0] == 200:
                break
            if time.monotonic() > end:
                raise CouldNotRun(f"gateway at {host} is not ready")
            await asyncio.sleep(0.1)


def run(case, folder, gateways=3):
    """Runs a case: a coroutine of deployment and record that returns what broke the rule, or an
    empty list. Ends the process with the code that the script has to return."""
    if not os.path.exists(PROGRAM):
        print("target/radishroute is missing: run the build of the deploy file first")
        sys.exit(COULD_NOT_RUN)
    # An end from outside ends the processes, too.
    signal.signal(signal.SIGTERM, lambda *unused: sys.exit(COULD_NOT_RUN))
    record = Record(folder)
    deployment = Deployment(record, gateways=gateways)

    async def main():
        try:
            return await asyncio.wait_for(case(deployment, record), 110)
        except asyncio.TimeoutError as error:
            raise CouldNotRun("time is up") from error
    try:
        broken = asyncio.run(main())
    except (CouldNotRun, OSError) as error:
        record(f"could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(COULD_NOT_RUN)
    finally:
        deployment.stop()
    for line in broken:
        record(f"BROKEN {line}")
        print(f"BROKEN {line}")
    record("rule broken" if broken else "rule held")
    print("rule broken" if broken else "rule held")
    sys.exit(BROKEN if broken else HELD)
