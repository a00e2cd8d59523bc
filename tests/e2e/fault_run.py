#!/usr/bin/env python3
"""Runs a deployment of examples/ under load and random faults, and checks the invariants.

usage: tests/e2e/fault_run.py build/radishroute DEPLOYMENT [--seconds N] [--seed S] [--out FILE]

The seed decides which faults come in which order; the timing of the processes differs between runs.
docs/faults-run.md describes the faults and the figures."""

import argparse
import json
import os
import random
import sys
import threading
import time

import invariants as inv
from cluster import Cluster, wait_until
from fault_actions import FAULTS, FaultContext
from zone_network import ZoneNetwork

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
# Faults end this long before the load does, so that the end of the run shows the recovery.
QUIET_END_S = 10
CHANGE_INTERVAL_S = 2


def read_example(name, file):
    with open(os.path.join(ROOT, "examples", name, file)) as text:
        return text.read()


def stretch(plan, seconds, rng):
    """The deployment's plan over a whole run, with floods by random Members at random times."""
    plan = {**plan, "seconds": seconds, "seed": rng.randrange(1 << 30)}
    for kind in plan["kinds"]:
        rate = kind["rate"] if isinstance(kind["rate"], (int, float)) else kind["rate"][0][1]
        kind.update(rate=rate, timeout_ms=15000)
        kind.pop("floods", None)
        if "service" not in kind:
            kind["floods"] = [
                {"at": at, "seconds": 2, "rate": 3 * rate + 30, "member": plan["flooders"][0]}
                for at in range(rng.randrange(5, 20), seconds - QUIET_END_S, 30)]
    plan.pop("flooders")
    return plan


class Changes(threading.Thread):
    """Submits configuration changes, some of them in a race for the same version number."""

    def __init__(self, cluster, rng, end):
        super().__init__(daemon=True)
        self.cluster, self.rng, self.end = cluster, rng, end
        self.version, self.accepted, self.faults, self.results = 1, [], [], {}

    def run(self):
        number = 0
        while time.time() < self.end:
            number += 1
            rivals = [f"change-{number}-{i}" for i in range(2 if self.rng.random() < 0.3 else 1)]
            codes = {}
            started = time.time()
            threads = [threading.Thread(target=self.submit, args=(i, rival, codes))
                       for i, rival in enumerate(rivals)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.judge(started, codes)
            time.sleep(CHANGE_INTERVAL_S)

    def submit(self, index, change, codes):
        done = self.cluster.apply_sheet(self.version, "--change-id", change, "--json",
                                        sheet=self.cluster.variants[index])
        report = json.loads(done.stdout) if done.stdout.startswith("{") else {}
        codes[change] = (done.returncode, report.get("state", ""), report.get("version", 0))

    def judge(self, started, codes):
        for code, state, _ in codes.values():
            self.results[f"{code} {state}".strip()] = self.results.get(f"{code} {state}".strip(), 0) + 1
        won = [(change, version) for change, (_, state, version) in codes.items()
               if state == "committed"]
        if len(won) > 1:
            self.faults.append(f"two changes won version {self.version + 1}: {won}")
        if won:
            in_force = codes[won[0][0]][0] == 0
            self.accepted.append({"version": won[0][1], "accepted": started,
                                  "reported": time.time() if in_force else None})
            self.version = won[0][1]
        else:
            # An unknown outcome may have been committed; the status names the version in force.
            self.version = self.cluster.version_in_force() or self.version


class FaultCluster(Cluster):
    def write_variants(self, sheet):
        """Two sheets that differ, for changes that race."""
        self.variants = []
        for i in range(2):
            self.variants.append(os.path.join(self.dir, f"variant-{i}.csv"))
            with open(self.variants[i], "w") as file:
                file.write(sheet + f"member,rival-{i},,,,,{1 + i},,,\n")

    def serves(self, description, kind):
        plan = {"seconds": 1, "arrivals": "fixed", "kinds": [
            {"name": kind, "model": description["model"], "rate": 14, "timeout_ms": 3000}]}
        result = self.run_plan(plan, name="probe")[1]
        return result["classes"]["interactive"]["outcomes"]["in_time"] == 14


def choose(rng):
    """One fault, or two at once that do not take the majority of the controllers together."""
    first = rng.choice(FAULTS)
    if rng.random() < 0.5:
        return [first]
    return [first, rng.choice([f for f in FAULTS if f.voters + first.voters <= 2 and f != first])]


def inject(context, rng, end):
    while time.time() < end:
        chosen = choose(rng)
        hold = rng.uniform(1, 5)
        context.begin(chosen, hold)
        time.sleep(rng.uniform(1, 4))


def check(cluster, context, changes, records, started):
    logs = {name: inv.read_log(os.path.join(cluster.dir, name + ".log")) for name in cluster.entries}
    applied = {name: [(at, int(fields["version"])) for at, event, fields in log
                      if event == "config-applied"] for name, log in logs.items()}
    runs = inv.read_runs(cluster.runs_files)
    for drain in context.drains:
        drain["known"] = {
            name: min((at for at, event, fields in log if event == "backend-leaving"
                       and fields["backend"] == drain["backend"] and at >= drain["at"] - 0.1),
                      default=None)
            for name, log in logs.items() if not context.excused_at(name, drain)}
    excused = context.excused(cluster)
    slow, delays = inv.find_slow_changes(changes.accepted, applied, excused)
    slow += inv.find_false_reports(
        changes.accepted, applied,
        {name: inv.lease_periods(log) for name, log in logs.items()}, excused)
    found = {
        "2 whole and own answers": inv.find_wrong_answers(records, started, context.interruptions),
        "3 true not run": inv.find_false_not_run(records, runs),
        "4 at most once": inv.find_duplicate_runs(runs),
        "5 leaving": inv.find_work_while_leaving(context.drains),
        "6 graceful shutdown": inv.find_interrupted_shutdowns(context.stops, records, started),
        "7 in force": slow + changes.faults + inv.find_reverted_versions(
            {name: [version for _, version in history] for name, history in applied.items()}),
        "processes": context.unexpected_ends()}
    return found, delays


def percentile(values, q):
    values = sorted(values)
    return round(values[min(len(values) - 1, int(q * len(values)))], 2) if values else None


def figures(context, changes, delays, records, started):
    """Per kind of fault: seconds until changes were in force, and answers by outcome."""
    out = {}
    for name in sorted({f["name"] for f in context.history} | {"none"}):
        windows = [(f["begin"], f["end"] + 2) for f in context.history if f["name"] == name]
        if name == "none":
            def inside(at):
                return not any(f["begin"] <= at <= f["end"] + 2 for f in context.history)
        else:
            def inside(at):
                return any(first <= at <= last for first, last in windows)
        times = [d for change, d in zip(changes.accepted, delays) if inside(change["accepted"])]
        outcomes = {}
        for r in records:
            if inside(started + r["planned_us"] / 1e6):
                outcomes[r["outcome"]] = outcomes.get(r["outcome"], 0) + 1
        out[name] = {"times": len(windows), "changes": len(times), "p50": percentile(times, 0.5),
                     "p99": percentile(times, 0.99), "outcomes": outcomes}
    return out


def report(found, result, options):
    violations = [f"invariant {name}: {text}" for name, list_ in found.items() for text in list_]
    print(f"seed {options.seed}, load average {os.getloadavg()[0]:.1f}")
    print(json.dumps({k: result[k] for k in ("changes", "in_force", "leaving", "graceful_stops")}))
    for name, row in result["faults"].items():
        print(f"{name}: {json.dumps(row)}")
    for text in violations[:40]:
        print(text)
    print(f"{options.deployment}: {result['requests']} requests, {len(violations)} violations")
    if options.out:
        with open(options.out, "w") as file:
            json.dump({**result, "seed": options.seed, "violations": violations}, file, indent=1)
    return 1 if violations else 0


def run(options):
    rng = random.Random(options.seed)
    description = json.loads(read_example(options.deployment, "deployment.json"))
    sheet = read_example(options.deployment, "sheet.csv")
    plan = json.loads(read_example(options.deployment, "plan.json"))
    members = [line.split(",")[1] for line in sheet.splitlines() if line.startswith("member,")]
    plan = stretch({**plan, "flooders": rng.sample(members, 1)}, options.seconds, rng)
    network = ZoneNetwork()
    with FaultCluster(options.program, sheet, network) as cluster:
        cluster.write_variants(sheet)
        cluster.add_deployment(description)
        kind = plan["kinds"][0]["name"]
        wait_until(lambda: cluster.serves(description, kind), 60, "answers from all entries")
        started = time.time()
        end = started + options.seconds - QUIET_END_S
        context = FaultContext(cluster, network, random.Random(options.seed + 1))
        context.history += [{"name": "flood", "begin": started + f["at"],
                             "end": started + f["at"] + f["seconds"]}
                            for k in plan["kinds"] for f in k.get("floods", ())]
        changes = Changes(cluster, random.Random(options.seed + 2), end)
        loads = []
        loader = threading.Thread(target=lambda: loads.append(
            cluster.run_plan(plan, timeout=options.seconds + 60)))
        loader.start()
        changes.start()
        time.sleep(2)
        inject(context, rng, end)
        loader.join()
        changes.join(60)
        wait_until(lambda: cluster.serves(description, kind), 30, "service after the faults")
        context.stop_all()
        records = inv.read_records(loads[0][2])
        started = inv.start_of(records, started)
        found, delays = check(cluster, context, changes, records, started)
        result = {"deployment": options.deployment, "seconds": options.seconds,
                  "requests": len(records), "load_average": os.getloadavg()[0],
                  "changes": changes.results, "directory": cluster.dir,
                  "leaving": {"drains": len(context.drains),
                              "seen_after_2_s": len([d for d in context.drains if d["received"] and
                                                     d["received"][-1][0] > d["at"] + 2])},
                  "graceful_stops": len(context.stops),
                  "in_force": {"p50": percentile(delays, 0.5), "p99": percentile(delays, 0.99)},
                  "faults": figures(context, changes, delays, records, started)}
    network.close()
    return report(found, result, options)


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("program")
    parser.add_argument("deployment", choices=["kupa", "brazos-bend"])
    parser.add_argument("--seconds", type=int, default=40)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", help="file for the figures in JSON")
    return run(parser.parse_args(arguments))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
