"""Starts radishroute processes on loopback for end-to-end tests and runs them to their end."""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time

import strict_http

SHEET = """table,name,class,deadline_ms,worth,repeat,weight,floor_percent,hour,requests
class,,transactional,,,,,10,,
class,,batch,,,,,10,,
kind,quote,interactive,5000,10,yes,,,,
kind,booking,transactional,10000,100,no,,,,
kind,restoration,batch,3600000,1,yes,,,,
member,club-1,,,,,1,,,
member,club-2,,,,,5,,,
work,quote,,,,,,,9,1000
"""


# Below the ports that systems give to outgoing connections, which could take the port of a process
# while it restarts.
PORTS = range(15000, 32000)
# Each is given out once, as it stays free until its process listens.
unused_ports = random.SystemRandom().sample(PORTS, len(PORTS))


def free_port():
    while True:
        port = unused_ports.pop()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def free_address():
    return f"127.0.0.1:{free_port()}"


class Cluster:
    """Processes of one deployment; use as a context manager, so that none outlives the test."""

    def __init__(self, program, sheet=SHEET, network=None):
        """With a `ZoneNetwork`, links between processes pass through its relays and the zones of a
        deployment are named as the network expects."""
        self.network = network
        self.program = os.path.abspath(program)
        self.dir = tempfile.mkdtemp(prefix="radishroute-")
        self.processes = {}
        self.arguments = {}
        self.entries = {}
        self.entry_addresses = {}
        self.controllers = {}
        self.controller_extra = {}
        self.engines = {}
        self.agents = {}
        self.runs_files = []
        self.sheet = os.path.join(self.dir, "sheet.csv")
        with open(self.sheet, "w") as file:
            file.write(sheet)

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(timeout=10)

    def relayed(self, zone, address):
        return self.network.relay(zone, address) if self.network else address

    def start(self, name, arguments):
        self.arguments[name] = [a for a in arguments if a != "--bootstrap"]
        log = open(os.path.join(self.dir, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            [self.program, *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        return self.processes[name]

    def start_with_settings(self, role, settings):
        path = os.path.join(self.dir, settings["node"] + ".json")
        with open(path, "w") as file:
            json.dump({"role": role, "secret": "test", **settings}, file)
        return self.start(settings["node"], [role, "--settings", path])

    def add_entry(self, name, zone="a", **extra):
        settings = {
            "node": name, "zone": zone, "http": {"listen": free_address()},
            "admin_listen": free_address(), "control_listen": free_address(),
            "threads": 2, "sheet": self.sheet, **extra}
        self.entries[name] = settings
        self.start_with_settings("entry", settings)
        return settings

    def add_engine(self, name, arguments=()):
        """Starts a stand-in without an agent and returns its address."""
        address = free_address()
        self.start(name, ["engine", "--listen", address, *arguments])
        self.engines[name] = address
        return address

    def add_service(self, name, zone, model, arguments=()):
        """Starts a plain service with its agent; its runs are checked by `check`."""
        runs = os.path.join(self.dir, name + ".runs")
        self.runs_files.append(runs)
        return self.add_backend(
            name, zone, ["--kind", "service", "--runs-file", runs, *arguments],
            kind="service", models=[model])

    def add_deployment(self, description):
        """Starts controllers, entries, engines and services of every zone and puts the sheet in
        force; see examples/*/deployment.json."""
        prefix = "zone-" if self.network else ""
        zones = description["zones"]
        self.add_controllers([prefix + zone for zone in description["controllers"]])
        listens = {f"entry-{zone}{i}": free_address()
                   for zone, counts in zones.items() for i in range(counts["entries"])}
        for name, listen in listens.items():
            zone = prefix + name[len("entry-")]
            self.entry_addresses[name] = self.relayed(zone, listen)
        for name, listen in listens.items():
            peers = [a for other, a in self.entry_addresses.items() if other != name]
            self.add_entry(name, prefix + name[len("entry-")], control_listen=listen, peers=peers,
                           controllers=self.control_addresses())
        applied = self.apply_sheet()
        assert applied.returncode == 0, applied.stdout + applied.stderr
        for zone, counts in zones.items():
            for i in range(counts["engines"]):
                self.add_backend(f"agent-{zone}{i}", prefix + zone, models=[description["model"]],
                                 concurrency=description["concurrency"])
            for i in range(counts["services"]):
                self.add_service(f"service-{zone}{i}", prefix + zone, description["service"])

    def add_controller(self, name, *arguments, zone="a"):
        if name not in self.controllers:
            listen = free_address()
            self.controllers[name] = {
                "node": name, "zone": zone, "control_listen": listen,
                "control_advertise": self.relayed(zone, listen),
                "admin_listen": free_address(), "admin_token": "token",
                "data": os.path.join(self.dir, name + "-data"), **self.controller_extra}
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w") as file:
            json.dump({"role": "controller", "secret": "test", **self.controllers[name]}, file)
        self.start(name, ["controller", "--settings", path, *arguments])
        wait_until(lambda: self.voter(name, "list")[0] == 0, what=f"{name} answers")

    def voter(self, name, *arguments):
        result = subprocess.run(
            [self.program, "voter", *arguments, "--settings",
             os.path.join(self.dir, name + ".json")], capture_output=True, text=True, timeout=20)
        return result.returncode, json.loads(result.stdout) if result.stdout else {}

    def leader(self):
        for name in self.controllers:
            if self.processes[name].poll() is not None:
                continue
            code, state = self.voter(name, "list")
            if code == 0 and state.get("lease"):
                return name
        return None

    def voters(self):
        _, state = self.voter(self.leader(), "list")
        return [r["id"] for r in state.get("replicas", []) if r["voting"]]

    def add_controllers(self, zones):
        """Starts a group of controllers, one for each entry of `zones`, and waits for all votes."""
        for i, zone in enumerate(zones):
            name = f"controller-{i}"
            self.add_controller(name, *([] if i else ["--bootstrap"]), zone=zone)
            wait_until(lambda: self.leader() is not None, what="a leader")
            if i:
                code, reply = self.voter(
                    self.leader(), "add", "--new", self.controllers[name]["admin_listen"])
                assert code == 0 and reply["status"] == "committed", reply
            wait_until(lambda: len(self.voters()) == i + 1, what=f"{i + 1} voters")

    def control_addresses(self):
        return [c["control_advertise"] for c in self.controllers.values()]

    def apply_sheet(self, base_version=0, *arguments, sheet=None):
        """Puts a sheet, or the cluster's own, in force and returns the finished process."""
        return self.operator("apply", "--sheet", sheet or self.sheet,
                             "--base-version", str(base_version), *arguments)

    def operator(self, command, *arguments, timeout=30):
        """Runs an operators' command against all controllers; returns the finished process."""
        token = os.path.join(self.dir, "token")
        if not os.path.exists(token):
            with open(token, "w") as file:
                file.write("token")
        targets = [a for c in self.controllers.values()
                   for a in ("--controller", c["admin_listen"])]
        return subprocess.run(
            [self.program, command, *targets, "--token-file", token, *arguments],
            capture_output=True, text=True, timeout=timeout)

    def version_in_force(self):
        """Version that the leader reports; None without a leader."""
        done = self.operator("status", "--json")
        return json.loads(done.stdout)["config"]["version"] if done.returncode == 0 else None

    def fault(self, engine, fault, value=0):
        body = json.dumps({"fault": fault, "value": value}).encode()
        strict_http.fetch(self.engines[engine], "/v1/fault", body)

    def run_plan(self, plan, targets=None, timeout=120, name="load", arguments=()):
        """Runs a plan and returns the finished process, its result and its records file."""
        path, out, records = (os.path.join(self.dir, name + end)
                              for end in (".plan", ".json", ".records"))
        with open(path, "w") as file:
            json.dump(plan, file)
        targets = targets or [e["http"]["listen"] for e in self.entries.values()]
        addresses = [a for target in targets for a in ("--target", target)]
        done = subprocess.run(
            [self.program, "load", *addresses, *arguments, "--plan", path, "--sheet", self.sheet,
             "--out", out, "--records", records], capture_output=True, text=True, timeout=timeout)
        with open(out) as file:
            return done, json.load(file), records

    def check(self, records, runs_files=None):
        """Runs `load check` and returns the finished process."""
        files = self.runs_files if runs_files is None else runs_files
        arguments = [a for f in files for a in ("--runs-file", f)]
        return subprocess.run([self.program, "load", "check", "--records", records, *arguments],
                              capture_output=True, text=True, timeout=60)

    def add_backend(self, name, zone="a", engine_arguments=(), admin_token="", **backend):
        engine = self.add_engine(name + "-engine", engine_arguments)
        listen = free_address()
        settings = {
            "node": name, "zone": zone, "traffic_listen": listen,
            "traffic_advertise": self.relayed(zone, listen), "admin_listen": free_address(),
            "admin_token": admin_token,
            "entries": self.addresses_of_entries(zone),
            "backend": {"address": engine, "models": ["draft"], **backend}}
        self.start_with_settings("agent", settings)
        self.agents[name] = settings
        return settings

    def addresses_of_entries(self, zone):
        """An agent announces to the entries of its zone; without relays, tests let it use all."""
        return [self.entry_addresses.get(name, entry["control_listen"])
                for name, entry in self.entries.items()
                if not self.network or entry["zone"] == zone]

    def metrics(self, settings):
        text = strict_http.fetch(settings["admin_listen"], "/metrics")
        pairs = (line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#"))
        return {name: float(value) for name, value in pairs}

    def load(self, *arguments, timeout=60):
        targets = [a for e in self.entries.values() for a in ("--target", e["http"]["listen"])]
        return subprocess.run(
            [self.program, "load", *targets, "--member", "club-1", "--member", "club-2",
             "--kind", "quote", *arguments],
            capture_output=True, text=True, timeout=timeout)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait(timeout=10)

    def restart_gracefully(self, name):
        """Stops a process, starts it again and returns its exit code."""
        code = self.stop(name)
        self.restart(name)
        return code

    def restart(self, name):
        """Starts a process that has ended with the arguments that it had."""
        return self.start(name, self.arguments[name])

    def stop(self, name, timeout=20):
        """Asks a process to stop gracefully and returns its exit code."""
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(timeout=timeout)


def wait_until(condition, timeout=10, what="condition"):
    """Polls until the condition holds; raises after the timeout."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"{what} did not hold within {timeout} s")
