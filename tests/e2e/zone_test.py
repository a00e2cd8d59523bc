"""Guards a zone that is cut off, in both or in one direction: lost idempotent work inside it, untyped
refusals, a change that the other zones do not take, a false report, and a version that goes back."""

import json
import os
import re
import sys
import time
import uuid

import strict_http
from cluster import Cluster, wait_until
from invariants import applied_versions, find_reverted_versions
from zone_network import ZoneNetwork

FOLDER = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "examples", "kupa")
DESCRIPTION = {
    "zones": {"a": {"entries": 2, "engines": 2, "services": 1},
              "b": {"entries": 2, "engines": 1, "services": 1},
              "c": {"entries": 1, "engines": 1, "services": 1}},
    "controllers": ["a", "a", "b", "b", "c"], "model": "draft", "service": "bench",
    "concurrency": 16}
QUOTES = {"name": "quote", "model": "draft", "rate": 20, "timeout_ms": 4000, "max_tokens": 16}
BOOKINGS = {"name": "booking", "service": "bench", "rate": 10, "timeout_ms": 4000}
IN_FORCE_S = 8
# Configuration leases last 3 s and the leader's lease less.
LEASES_OVER_S = 5


def plan(*kinds, seconds=2):
    return {"seconds": seconds, "arrivals": "fixed", "kinds": list(kinds)}


def uuid7():
    value = (int(time.time() * 1000) << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    value = (value & ~(0xF << 76)) | (7 << 76)
    return str(uuid.UUID(int=(value & ~(3 << 62)) | (2 << 62)))


def book(entry):
    """Submits one new booking and returns its status and problem document."""
    connection = strict_http.StrictConnection(entry["http"]["listen"], timeout=12)
    connection.request("POST", "/v1/services/bench/book", "{}", {
        "x-member": "cinar", "x-work-kind": "booking", "idempotency-key": uuid7(),
        "x-first-submission": "true"})
    response = connection.getresponse()
    body = response.read()
    return response.status, json.loads(body) if response.status != 200 else {}


class Zones(Cluster):
    def choose(self):
        """Cuts are made around the leader's zone, the hardest one to lose."""
        self.cut = self.controllers[self.leader()]["zone"]

    def entries_of(self, inside):
        return {n: e for n, e in self.entries.items() if (e["zone"] == self.cut) == inside}

    def targets(self, inside):
        return [e["http"]["listen"] for e in self.entries_of(inside).values()]

    def serves(self):
        done = self.run_plan(plan(QUOTES, BOOKINGS, seconds=1), name="probe")[0]
        return "whole 30, " in done.stdout

    def versions(self, name):
        return applied_versions(os.path.join(self.dir, name + ".log"))


def expect_whole(cluster, inside, *kinds):
    done, result, records = cluster.run_plan(plan(*kinds), cluster.targets(inside))
    print("  ", done.stdout.strip().replace("\n", "; "), done.stderr.strip())
    expected = sum(2 * kind["rate"] for kind in kinds)
    assert f"whole {expected}, " in done.stdout, "work was lost"
    checked = cluster.check(records)
    assert checked.returncode == 0, checked.stdout


def change_meanwhile(cluster, version):
    """A change right after the cut: accepted and in force outside within 8 s, truthfully reported."""
    started = time.monotonic()
    done = cluster.apply_sheet(version - 1, "--change-id", f"change-{version}")
    took = time.monotonic() - started
    print(f"   in force outside after {took:.2f} s:", done.stdout.strip().replace("\n", "; "),
          done.stderr.strip())
    assert done.returncode == 0 and f"version {version}" in done.stdout
    assert took < IN_FORCE_S
    for zone in sorted(cluster.network.zones):
        expected = "cut off" if zone == cluster.cut else "in force"
        assert re.search(f"zone {zone}: .*{expected}", done.stdout), f"{zone} is not {expected}"
    for name in cluster.entries_of(False):
        assert cluster.versions(name)[-1] == version, name
    for name in cluster.entries_of(True):
        assert cluster.versions(name)[-1] < version, name


def cut_zone(cluster, version, **directions):
    """Cuts the leader's zone for longer than every lease."""
    cluster.choose()
    print(f"cut {cluster.cut} with the leader, {directions}", flush=True)
    started = time.monotonic()
    cluster.network.cut(cluster.cut, **directions)
    change_meanwhile(cluster, version)
    time.sleep(max(0, started + LEASES_OVER_S - time.monotonic()))
    expect_whole(cluster, True, QUOTES)
    for entry in cluster.entries_of(True).values():
        status, problem = book(entry)
        assert status == 503 and problem["outcome"] == "not-run", (status, problem)
        assert problem["title"] in ("config-lease-lost", "no-quorum"), problem
    expect_whole(cluster, False, QUOTES, BOOKINGS)

    cluster.network.heal()
    healed = time.monotonic()
    wait_until(lambda: all(cluster.versions(name)[-1] == version for name in cluster.entries),
               IN_FORCE_S, "the newest version in the zone after the heal")
    print(f"   newest version in the zone {time.monotonic() - healed:.2f} s after the heal")
    wait_until(cluster.serves, 20, "all work after the heal")
    print(f"   all work {time.monotonic() - healed:.2f} s after the heal", flush=True)
    found = find_reverted_versions({n: cluster.versions(n) for n in cluster.entries})
    assert not found, found


def main(program):
    with open(os.path.join(FOLDER, "sheet.csv")) as file:
        sheet = file.read()
    network = ZoneNetwork()
    with Zones(program, sheet, network) as cluster:
        cluster.add_deployment(DESCRIPTION)
        wait_until(cluster.serves, 60, "answers from all entries")
        cut_zone(cluster, 2)
        cut_zone(cluster, 3, inwards=False)
        cut_zone(cluster, 4, outwards=False)
    network.close()


if __name__ == "__main__":
    main(sys.argv[1])
