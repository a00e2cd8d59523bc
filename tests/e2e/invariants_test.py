"""Guards the checkers of the fault run: each must fail when its invariant is broken. The records are
those of a sound run, in which one thing at a time is made false."""

import copy

import invariants as inv

START = 1000.0
KEY, OTHER = "key-1", "key-2"


def record(number, outcome="in_time", key="", **extra):
    return {"number": number, "key": key, "outcome": outcome, "claimed_not_run": False,
            "planned_us": number * 1000000, "latency_us": 500000, **extra}


SOUND = [record(1), record(2, key=KEY), record(3, "not_run", OTHER, claimed_not_run=True),
         record(4, "unknown", "key-3")]
RUNS = {KEY: 1, "key-3": 1}
DRAIN = {"backend": "agent-a0", "at": START,
         "received": [(START, 5), (START + 1, 9), (START + 2.1, 9), (START + 4, 9)],
         "known": {"entry-a0": START + 0.1}}
STOP = {"process": "entry-a0", "begin": START + 4, "end": START + 6, "code": 0, "alone": True}
CHANGES = [{"version": 2, "accepted": START, "reported": START + 2}]
LEASES = {"entry-a0": [(START - 9, START + 40)], "entry-b0": [(START + 30, START + 40)]}
APPLIED = {"entry-a0": [(START - 9, 1), (START + 1, 2)], "entry-b0": [(START - 9, 1), (START + 30, 2)]}
EXCUSED = {"entry-b0": [(START - 1, START + 25)]}


def with_outcome(index, outcome):
    records = copy.deepcopy(SOUND)
    records[index]["outcome"] = outcome
    return records


def starts():
    # Version 7 carries the time in milliseconds in its first 48 bits.
    keyed = record(4, key="0000000f-4a10-7000-8000-000000000000")
    assert inv.start_of([record(1), keyed], 5) == 0xf4a10 / 1000 - 4
    assert inv.start_of([record(1)], 5) == 5


def answers():
    assert not inv.find_wrong_answers(SOUND, START)
    assert inv.find_wrong_answers(with_outcome(0, "wrong"), START, [(0, 9999)])
    cut = with_outcome(0, "cut")
    assert inv.find_wrong_answers(cut, START)
    assert inv.find_wrong_answers(cut, START, [(START + 5, START + 6)])
    assert not inv.find_wrong_answers(cut, START, [(START + 1.2, START + 1.3)])


def runs():
    assert not inv.find_false_not_run(SOUND, RUNS)
    assert inv.find_false_not_run(SOUND, {**RUNS, OTHER: 1})
    assert inv.find_false_not_run(SOUND, {"key-3": 1})
    assert not inv.find_duplicate_runs(RUNS)
    assert inv.find_duplicate_runs({**RUNS, "key-3": 2})


def leaving():
    assert not inv.find_work_while_leaving([DRAIN])
    late = {**DRAIN, "received": DRAIN["received"] + [(START + 5, 10)]}
    assert inv.find_work_while_leaving([DRAIN, late])
    assert inv.find_work_while_leaving([{**DRAIN, "known": {"entry-a0": START + 2.5}}])
    assert inv.find_work_while_leaving([{**DRAIN, "known": {"entry-a0": None}}])


def shutdowns():
    assert not inv.find_interrupted_shutdowns([STOP], SOUND, START)
    assert inv.find_interrupted_shutdowns([{**STOP, "code": 3}], SOUND, START)
    assert inv.find_interrupted_shutdowns([STOP], with_outcome(3, "cut"), START)
    # A start that a key gives may be early, so that an answer seems to be cut just before the stop.
    just_after = {**STOP, "begin": START + 4.5009}
    assert inv.find_interrupted_shutdowns([just_after], with_outcome(3, "cut"), START)
    assert not inv.find_interrupted_shutdowns([{**STOP, "begin": START + 4.502}],
                                              with_outcome(3, "cut"), START)
    # A kill at the same time may cut what the graceful stop would not have.
    assert not inv.find_interrupted_shutdowns([{**STOP, "alone": False}], with_outcome(3, "cut"), START)


def versions():
    assert not inv.find_reverted_versions({"entry-a0": [1, 2, 2, 5]})
    assert inv.find_reverted_versions({"entry-a0": [1, 2], "entry-b0": [1, 3, 2]})
    found, delays = inv.find_slow_changes(CHANGES, APPLIED, EXCUSED)
    assert not found and delays == [1.0], (found, delays)
    assert inv.find_slow_changes(CHANGES, APPLIED, {})[0]
    never = {**APPLIED, "entry-a0": [(START - 9, 1)]}
    assert inv.find_slow_changes(CHANGES, never, EXCUSED)[0]
    late = {**APPLIED, "entry-a0": [(START + 8.5, 2)]}
    assert inv.find_slow_changes(CHANGES, late, EXCUSED)[0]
    assert not inv.find_false_reports(CHANGES, APPLIED, LEASES, {})
    assert inv.find_false_reports(CHANGES, late, LEASES, {})
    assert not inv.find_false_reports(CHANGES, late, LEASES, {"entry-a0": [(START, START + 3)]})
    held = {**LEASES, "entry-b0": [(START, START + 40)]}
    assert inv.find_false_reports(CHANGES, APPLIED, held, {})
    events = [(1, "config-lease-gained", {}), (3, "process-started", {}),
              (4, "config-lease-gained", {}), (6, "config-lease-lost", {})]
    assert inv.lease_periods(events) == [(1, 3), (4, 6)]


if __name__ == "__main__":
    for check in (starts, answers, runs, leaving, shutdowns, versions):
        check()
        print(check.__name__, "passed")
