"""Faults of the fault run: each breaks something, holds, and puts it right again."""

import signal
import threading
import time
from collections import namedtuple

DRAINING = 'radishroute_refusals_total{reason="draining"}'
GRACEFUL = ("drain_agent", "drain_entry", "rolling_restart", "flood")
# A request that another fault touched may still be in progress this long after it.
AFTERMATH_S = 5
STOP_TIMEOUT_S = 40
# An answer of 40 ms takes 6 s, so that a draining agent still lives when late work may reach it.
SLOWDOWN = 150

Fault = namedtuple("Fault", "name action voters")


class FaultContext:
    """What the faults did, for the checkers."""

    def __init__(self, cluster, network, rng):
        self.cluster, self.network, self.rng = cluster, network, rng
        self.lock = threading.Lock()
        self.busy, self.threads = set(), []
        self.history, self.drains, self.stops = [], [], []
        # Times at which an entry was killed, at which entries were down, and of cut zones.
        self.interruptions, self.outages, self.cuts, self.ended = [], [], [], []

    def pick(self, *roles):
        """Reserves a process of one of the roles that no other fault touches."""
        with self.lock:
            names = [n for n in sorted(self.cluster.processes) if n not in self.busy
                     and n.startswith(roles) and not n.endswith("-engine")]
            name = self.rng.choice(names)
            self.busy.add(name)
            return name

    def pick_engine(self):
        with self.lock:
            names = [n for n in sorted(self.cluster.engines) if n not in self.busy]
            name = self.rng.choice(names)
            self.busy.add(name)
            return name

    def pick_leader(self):
        """The leader, or any controller while there is none or another fault has it."""
        name = self.cluster.leader()
        with self.lock:
            if name and name not in self.busy:
                self.busy.add(name)
                return name
        return self.pick("controller-")

    def begin(self, faults, hold):
        """Runs faults at once and waits for their end."""
        threads = [threading.Thread(target=self.run, args=(f, hold), daemon=True) for f in faults]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(120)

    def run(self, fault, hold):
        entry = {"name": fault.name, "begin": time.time(), "end": float("inf")}
        with self.lock:
            self.history.append(entry)
        try:
            fault.action(self, hold)
        except Exception as error:  # A fault that could not be injected must fail the run.
            self.ended.append(f"fault {fault.name}: {error!r}")
        entry["end"] = time.time()

    def release(self, name):
        with self.lock:
            self.busy.discard(name)

    def kill(self, name):
        process = self.cluster.processes[name]
        if process.poll() is not None:
            self.ended.append(f"{name} had ended with {process.returncode}")
        process.kill()
        process.wait(timeout=10)

    def stop(self, name, while_stopping=lambda: None):
        """Stops a process gracefully and starts it again."""
        process, begin = self.cluster.processes[name], time.time()
        process.send_signal(signal.SIGTERM)
        while process.poll() is None and time.time() < begin + STOP_TIMEOUT_S:
            while_stopping()
            time.sleep(0.2)
        if process.poll() is None:
            process.kill()
            process.wait(timeout=10)
        self.stops.append({"process": name, "begin": begin, "end": time.time(),
                           "code": process.returncode})
        self.cluster.restart(name)
        return begin

    def alone(self, stop):
        return not any(f["name"] not in GRACEFUL and f["begin"] <= stop["end"]
                       and f["end"] + AFTERMATH_S >= stop["begin"] for f in self.history)

    def excused(self, cluster):
        """Times at which an entry was down or cut off, by entry."""
        out = {}
        for name, settings in cluster.entries.items():
            out[name] = [(first, last) for entry, first, last in self.outages if entry == name]
            out[name] += [(first, last) for zone, first, last in self.cuts
                          if zone == settings["zone"]]
        return out

    def excused_at(self, name, drain):
        """True if an entry, or the way to it, was broken when a backend server began to leave."""
        windows = [(first, last) for entry, first, last in self.outages if entry == name]
        windows += [(first, last) for _, first, last in self.cuts]
        windows += [(f["begin"], f["end"] + 3) for f in self.history if f["name"] == "silence"]
        return any(first <= drain["at"] + 2 and last + 3 >= drain["at"] for first, last in windows)

    def unexpected_ends(self):
        found = list(self.ended)
        for name in self.cluster.processes:
            with open(f"{self.cluster.dir}/{name}.log") as file:
                found += [f"{name}: {line.strip()}" for line in file if "invariant-violated" in line]
        return found

    def stop_all(self):
        """Ends the run: every process must still run, and entries and agents stop without loss."""
        for stop in self.stops:
            stop["alone"] = self.alone(stop)
        processes = self.cluster.processes
        self.ended += [f"{n} had ended with {p.returncode}" for n, p in processes.items()
                       if p.poll() is not None]
        for role in ("entry-", ("agent-", "service-")):
            names = [n for n in processes if n.startswith(role) and not n.endswith("-engine")]
            begin = time.time()
            for name in names:
                processes[name].send_signal(signal.SIGTERM)
            for name in names:
                code = processes[name].wait(timeout=STOP_TIMEOUT_S)
                self.stops.append({"process": name, "begin": begin, "end": time.time(),
                                   "code": code, "alone": True})


def outage(context, name, first):
    if name.startswith("entry-"):
        context.outages.append((name, first, time.time()))


def kill(pick):
    def action(context, hold):
        name = pick(context)
        first = time.time()
        context.kill(name)
        if name.startswith("entry-"):
            context.interruptions.append((first - 0.5, first + 1))
        time.sleep(hold)
        context.cluster.restart(name)
        outage(context, name, first)
        context.release(name)
    return action


def pause(pick):
    def action(context, hold):
        name = pick(context)
        first = time.time()
        context.cluster.processes[name].send_signal(signal.SIGSTOP)
        time.sleep(hold)
        context.cluster.processes[name].send_signal(signal.SIGCONT)
        outage(context, name, first)
        context.release(name)
    return action


def cut_zone(context, hold):
    leader = context.cluster.leader()
    zones = sorted(context.network.zones)
    zone = context.rng.choice(zones + [context.cluster.controllers[leader]["zone"]] * len(zones)
                              if leader else zones)
    outwards, inwards = context.rng.choice([(True, True), (True, False), (False, True)])
    first = time.time()
    context.network.cut(zone, outwards=outwards, inwards=inwards)
    time.sleep(hold + 2)
    context.network.heal()
    context.cuts.append((zone, first, time.time()))


def silence(context, hold):
    context.network.silence()
    time.sleep(hold)


def received(cluster, name, runs_file):
    """Work that reached a backend server: calls it ran and dispatches its agent refused."""
    count = cluster.metrics(cluster.agents[name]).get(DRAINING, 0)
    if runs_file:
        with open(runs_file) as file:
            count += len(file.read().split())
    return count


def drain_agent(context, hold):
    """Drains an agent whose engine is slow, so that it lives long enough to be sent late work."""
    name = context.pick("agent-", "service-")
    engine = name + "-engine"
    runs_file = next((f for f in context.cluster.runs_files if f.endswith(f"/{name}.runs")), None)
    samples = []

    def sample():
        try:
            samples.append((time.time(), received(context.cluster, name, runs_file)))
        except OSError:
            pass
    try:
        context.cluster.fault(engine, "slow", SLOWDOWN)
    except OSError:
        pass  # Another fault has the engine; the drain alone is worth its while.
    time.sleep(1)
    at = context.stop(name, sample)
    context.drains.append({"backend": name, "at": at, "received": samples})
    try:
        context.cluster.fault(engine, "none")
    except OSError:
        pass
    context.release(name)


def drain_entry(context, hold):
    name = context.pick("entry-")
    first = time.time()
    context.stop(name)
    outage(context, name, first)
    context.release(name)


def rolling_restart(context, hold):
    for roles in (("agent-",), ("entry-",), ("service-",)):
        name = context.pick(*roles)
        first = time.time()
        context.stop(name)
        outage(context, name, first)
        context.release(name)
        time.sleep(0.5)


def any_of(*roles):
    return lambda context: context.pick(*roles)


ENTRY, AGENT, CONTROLLER = any_of("entry-"), any_of("agent-", "service-"), any_of("controller-")
ENGINE, LEADER = FaultContext.pick_engine, FaultContext.pick_leader

FAULTS = [
    Fault("kill_entry", kill(ENTRY), 0), Fault("kill_agent", kill(AGENT), 0),
    Fault("kill_engine", kill(ENGINE), 0), Fault("kill_controller", kill(CONTROLLER), 1),
    Fault("kill_leader", kill(LEADER), 1), Fault("pause_entry", pause(ENTRY), 0),
    Fault("pause_agent", pause(AGENT), 0), Fault("pause_engine", pause(ENGINE), 0),
    Fault("pause_leader", pause(LEADER), 1), Fault("cut_zone", cut_zone, 2),
    Fault("silence", silence, 0), Fault("drain_agent", drain_agent, 0),
    Fault("drain_entry", drain_entry, 0), Fault("rolling_restart", rolling_restart, 0)]
