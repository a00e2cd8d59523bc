"""Starts radishroute processes on loopback for end-to-end tests and runs them to their end."""

import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

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


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_address():
    return f"127.0.0.1:{free_port()}"


class Cluster:
    """Processes of one deployment; use as a context manager, so that none outlives the test."""

    def __init__(self, program):
        self.program = program
        self.dir = tempfile.mkdtemp(prefix="radishroute-")
        self.processes = {}
        self.entries = {}
        self.sheet = os.path.join(self.dir, "sheet.csv")
        with open(self.sheet, "w") as file:
            file.write(SHEET)

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(timeout=10)

    def start(self, name, arguments):
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

    def add_backend(self, name, zone="a", engine_arguments=(), **backend):
        engine = free_address()
        self.start(name + "-engine", ["engine", "--listen", engine, *engine_arguments])
        settings = {
            "node": name, "zone": zone, "traffic_listen": free_address(),
            "admin_listen": free_address(),
            "entries": [e["control_listen"] for e in self.entries.values()],
            "backend": {"address": engine, "models": ["draft"], **backend}}
        self.start_with_settings("agent", settings)
        return settings

    def metrics(self, settings):
        text = urllib.request.urlopen(
            f"http://{settings['admin_listen']}/metrics", timeout=5).read().decode()
        pairs = (line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#"))
        return {name: float(value) for name, value in pairs}

    def load(self, *arguments, timeout=60):
        targets = [a for e in self.entries.values() for a in ("--target", e["http"]["listen"])]
        return subprocess.run(
            [self.program, "load", *targets, "--member", "club-1", "--member", "club-2",
             "--kind", "quote", *arguments],
            capture_output=True, text=True, timeout=timeout)

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
