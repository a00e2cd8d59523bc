"""Checkers of the invariants of docs/design.md, section 1.2, over the records of a run.

Each takes plain records and returns a list of violations as text, empty if there is none. Times are
seconds since 1970."""

import json
import re
from datetime import datetime

LEAVING_S = 2
IN_FORCE_S = 8
# Keys of version 7 round down to milliseconds.
KEY_RESOLUTION_S = 0.001
LOG_LINE = re.compile(r"^(\S+) \S+ event=(\d+) name=(\S+) ?(.*)$")
DONE = ("in_time", "late")


def read_records(path):
    with open(path) as file:
        return [json.loads(line) for line in file]


def start_of(records, launched):
    """Start of the load: the time in a key of version 7, less the planned time of its request. The
    launch of the load's process is earlier by the time that the process took to start."""
    for r in records:
        if r["key"]:
            return int(r["key"].replace("-", "")[:12], 16) / 1000 - r["planned_us"] / 1e6
    return launched


def span_of(record, started):
    """Earliest begin and latest end of a request. With the time of a key, the start of the load is
    early by up to a millisecond, in which a kill cuts every answer."""
    begin = started + record["planned_us"] / 1e6
    return begin, begin + record["latency_us"] / 1e6 + KEY_RESOLUTION_S


def read_runs(paths):
    """Runs by Idempotency-Key."""
    runs = {}
    for path in paths:
        with open(path) as file:
            for key in file.read().split():
                runs[key] = runs.get(key, 0) + 1
    return runs


def read_log(path):
    """Events of a log as (time, name, fields)."""
    events = []
    with open(path) as file:
        for line in file:
            if found := LOG_LINE.match(line):
                at = datetime.strptime(found.group(1), "%Y-%m-%dT%H:%M:%S.%f").timestamp()
                fields = dict(re.findall(r'(\w+)=("[^"]*"|\S+)', found.group(4)))
                events.append((at, found.group(3), fields))
    return events


def applied_versions(path):
    """Configuration versions that an entry applied, in order of its log."""
    return [int(fields["version"]) for _, name, fields in read_log(path)
            if name == "config-applied"]


def find_wrong_answers(records, started, interruptions=()):
    """Invariant 2. An answer may be cut only while an entry was killed or paused: `interruptions`
    are (first, last) times. A cut answer has no end mark, so its caller can tell."""
    found = []
    for r in records:
        if r["outcome"] == "wrong":
            found.append(f"request {r['number']}: wrong answer")
        if r["outcome"] != "cut":
            continue
        begin, end = span_of(r, started)
        if not any(first <= end and begin <= last for first, last in interruptions):
            found.append(f"request {r['number']}: cut answer, although no entry was interrupted")
    return found


def find_false_not_run(records, runs):
    """Invariant 3, and an answer without a run, which would hide a lost call."""
    found = []
    for r in records:
        if r["key"] and r["claimed_not_run"] and r["key"] in runs:
            found.append(f"{r['key']}: refused as not run, but it ran")
        if r["key"] and r["outcome"] in DONE and r["key"] not in runs:
            found.append(f"{r['key']}: answered, but it never ran")
    return found


def find_duplicate_runs(runs):
    """Invariant 4."""
    return [f"{key}: ran {count} times" for key, count in runs.items() if count > 1]


def find_work_while_leaving(drains):
    """Invariant 5. A drain has `backend`, `at`, `received`: (time, units of work received so far)
    from samples of the backend server and its agent until it stopped, and `known`: for each entry
    that could be reached, the time at which it knew, or None."""
    found = []
    for drain in drains:
        late = [(at, count) for at, count in drain["received"] if at >= drain["at"] + LEAVING_S]
        if late and late[-1][1] > late[0][1]:
            found.append(f"{drain['backend']}: {late[-1][1] - late[0][1]} new units of work later "
                         f"than {LEAVING_S} s after it began to leave")
        found += [f"{drain['backend']}: {entry} did not know within {LEAVING_S} s that it leaves"
                  for entry, at in drain["known"].items()
                  if at is None or at > drain["at"] + LEAVING_S]
    return found


def find_interrupted_shutdowns(stops, records, started):
    """Invariant 6. A stop has `process`, `begin`, `end`, `code` and `alone`: whether no other kind of
    fault went on. No answer may be cut while only graceful stops go on."""
    found = [f"{s['process']}: exit code {s['code']} after a graceful stop"
             for s in stops if s["code"] != 0 and s["alone"]]
    for r in records:
        if r["outcome"] not in ("cut", "wrong"):
            continue
        _, end = span_of(r, started)
        found += [f"request {r['number']}: {r['outcome']} during the graceful stop of {s['process']}"
                  for s in stops if s["alone"] and s["begin"] <= end <= s["end"]]
    return found


def find_reverted_versions(versions):
    """Invariant 7. `versions` has the versions that each entry applied, in order."""
    return [f"{entry}: version {later} after {earlier}" for entry, applied in versions.items()
            for earlier, later in zip(applied, applied[1:]) if later < earlier]


def lease_periods(events):
    """The (first, last) times at which an entry held a configuration lease, from its log."""
    periods, since = [], None
    for at, name, _ in events:
        if name == "config-lease-gained":
            since = at
        elif name in ("config-lease-lost", "process-started") and since is not None:
            periods.append((since, at))
            since = None
    return periods + ([(since, float("inf"))] if since is not None else [])


def find_false_reports(changes, applied, leases, excused):
    """Invariant 7. A change that was `reported` as in force everywhere must have been applied by each
    entry that held a lease then, unless the entry was down or cut off."""
    return [f"{entry}: version {change['version']} reported as in force before it was"
            for change in changes if change["reported"] for entry, history in applied.items()
            if any(first <= change["reported"] <= last for first, last in leases.get(entry, ()))
            and not any(first <= change["reported"] <= last for first, last in excused.get(entry, ()))
            and not any(at <= change["reported"] and version >= change["version"]
                        for at, version in history)]


def find_slow_changes(changes, applied, excused):
    """Invariant 7. A change has `version` and `accepted`; `applied` has for each entry the (time,
    version) of what it applied, and `excused` the (first, last) times at which the entry was down or
    its zone cut off. Time to apply counts from the end of the excuse that covers the change.

    Returns the violations and the seconds until each change was in force everywhere."""
    found, delays = [], []
    for change in changes:
        longest = 0
        for entry, history in applied.items():
            due = change["accepted"]
            for first, last in sorted(excused.get(entry, ())):
                if first <= due + IN_FORCE_S and last > due:
                    due = last
            times = [at for at, version in history if version >= change["version"]]
            delay = min(times) - due if times else float("inf")
            if delay > IN_FORCE_S:
                found.append(f"{entry}: version {change['version']} in force after {delay:.1f} s")
            if due == change["accepted"]:
                longest = max(longest, delay)
        delays.append(longest)
    return found, delays
