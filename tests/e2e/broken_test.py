"""Guards the checkers of the fault run against passing by accident: processes break each invariant on
purpose, and the checker must find it in the records that a fault run takes."""

import sys
import threading
import time

import invariants as inv
from cluster import Cluster, wait_until
from fault_actions import received

QUOTES = {"name": "quote", "model": "draft", "rate": 20, "max_tokens": 64, "stream": 1.0,
          "timeout_ms": 4000}
BOOKINGS = {"name": "booking", "service": "bench", "rate": 20, "timeout_ms": 4000}


def load(cluster, *kinds, seconds=2, targets=None):
    """Runs a load and returns its start and its records."""
    started = time.time()
    plan = {"seconds": seconds, "arrivals": "fixed", "kinds": list(kinds)}
    records = inv.read_records(cluster.run_plan(plan, targets)[2])
    return inv.start_of(records, started), records


def during_load(cluster, action, *kinds, seconds=6):
    """Runs `action` 1 s after a load began; returns its result with the start and the records."""
    results = []
    loader = threading.Thread(target=lambda: results.append(load(cluster, *kinds, seconds=seconds)))
    loader.start()
    time.sleep(1)
    done = action()
    loader.join()
    return done, *results[0]


def with_fault(cluster, engine, fault, kind, targets=None):
    cluster.fault(engine, fault, 2)
    started, records = load(cluster, kind, targets=targets)
    cluster.fault(engine, "none")
    return started, records


def answers(cluster):
    started, records = load(cluster, QUOTES, BOOKINGS)
    assert not inv.find_wrong_answers(records, started)
    assert inv.find_wrong_answers(with_fault(
        cluster, "agent-engine", "corrupt", QUOTES)[1], started), "corrupt"
    # The entry turns the loss of an engine into an error event, so the cut is made without it.
    started, records = with_fault(cluster, "agent-engine", "cut", QUOTES,
                                  [cluster.engines["agent-engine"]])
    assert inv.find_wrong_answers(records, started), "cut"


def runs(cluster):
    records = load(cluster, BOOKINGS)[1]
    before = inv.read_runs(cluster.runs_files)
    assert not inv.find_false_not_run(records, before) and not inv.find_duplicate_runs(before)
    records = with_fault(cluster, "service-engine", "deny-run", BOOKINGS)[1]
    assert inv.find_false_not_run(records, inv.read_runs(cluster.runs_files)), "deny-run"
    with_fault(cluster, "service-engine", "run-twice", BOOKINGS)
    assert inv.find_duplicate_runs(inv.read_runs(cluster.runs_files)), "run-twice"


def leaving(cluster):
    """A backend server that is said to leave and was never told so goes on taking work."""
    def watch():
        at, samples = time.time(), []
        while time.time() < at + 4:
            samples.append((time.time(), received(cluster, "service", cluster.runs_files[0])))
            time.sleep(0.2)
        return {"backend": "service", "at": at, "received": samples, "known": {}}
    drain = during_load(cluster, watch, BOOKINGS)[0]
    assert inv.find_work_while_leaving([drain])


def shutdown(cluster):
    """An entry that exits at once instead of finishing its work."""
    def kill():
        begin = time.time()
        cluster.kill("entry")
        code = cluster.processes["entry"].returncode
        return {"process": "entry", "begin": begin, "end": time.time() + 1, "code": code,
                "alone": True}
    # Slow streams, so that some are in progress at any moment.
    cluster.fault("agent-engine", "slow", 5)
    stop, started, records = during_load(cluster, kill, QUOTES, BOOKINGS, seconds=2)
    cluster.fault("agent-engine", "none")
    found = inv.find_interrupted_shutdowns([stop], records, started)
    assert any("exit code" in text for text in found), found
    assert any("cut during" in text for text in found), found
    cluster.restart("entry")


def versions(cluster):
    """An entry that is down, without a record of it, does not get a change in time; a version that
    goes back in the log of an entry, added by hand."""
    log = cluster.dir + "/entry.log"
    wait_until(lambda: inv.applied_versions(log), what="a version after the restart")
    cluster.kill("entry")
    accepted = time.time()
    done = cluster.apply_sheet(1, "--timeout-ms", "1000")
    assert "committed as version 2" in done.stdout, done.stdout + done.stderr
    applied = {"entry": [(at, int(fields["version"])) for at, name, fields in inv.read_log(log)
                         if name == "config-applied"]}
    changes = [{"version": 2, "accepted": accepted}]
    assert inv.find_slow_changes(changes, applied, {})[0]
    cluster.restart("entry")
    wait_until(lambda: inv.applied_versions(log)[-1] == 2, what="version 2")
    assert not inv.find_reverted_versions({"entry": inv.applied_versions(log)})
    assert inv.find_reverted_versions({"entry": inv.applied_versions(log) + [1]})


def main(program):
    with Cluster(program) as cluster:
        cluster.add_controllers(["a"])
        cluster.add_entry("entry", controllers=cluster.control_addresses())
        assert cluster.apply_sheet().returncode == 0
        cluster.add_backend("agent")
        cluster.add_service("service", "a", "bench")
        wait_until(lambda: {r["outcome"] for r in load(cluster, QUOTES, BOOKINGS, seconds=1)[1]}
                   == {"in_time"}, 30, "answers")
        for check in (answers, runs, leaving, shutdown, versions):
            check(cluster)
            print(check.__name__, "caught", flush=True)


if __name__ == "__main__":
    main(sys.argv[1])
