"""Guards the change of expert maps in a group of ranks: a sudden shift of popularity, a leader
killed during the change, a rank paused and one restarted; every step ran under one map."""

import json
import os
import signal
import sys
import time

from cluster import Cluster, free_address, wait_until

RANKS = 4
EXPERTS = 16
LAYERS = 2
SLOTS = 6
SHIFT_STEP = 1200
HORIZON = 300
# Granted steps that are left at least, about 3 s of them, when the leader is lost.
REFILL = 200
# Unavailability after the loss of the leader is to be under 2 s; a step held up by it would take
# most of that time, while a busy machine delays a step for a fraction of a second.
LONGEST_GAP = 1.0
MISSING_AFTER_RESTART = 2


class Group:
    """Ranks of one group with their agents."""

    def __init__(self, cluster, shift_step=SHIFT_STEP):
        self.cluster = cluster
        self.shift_step = shift_step
        self.peers = [free_address() for _ in range(RANKS)]
        self.store = cluster.add_engine(
            "store", ["--kind", "weights", "--weight-rate", str(16 << 20)])

    def steps_file(self, rank):
        return os.path.join(self.cluster.dir, f"rank-{rank}.steps")

    def start_rank(self, rank):
        peers = [a for p in self.peers for a in ("--peer", p)]
        self.cluster.start(f"rank-{rank}", [
            "engine", "--kind", "rank", "--listen", self.peers[rank], "--rank", str(rank), *peers,
            "--weight-store", self.store, "--expert-bytes", str(1 << 20), "--step-us", "10000",
            "--tokens", "4096", "--token-ns", "2000", "--window-steps", "50",
            "--drift-windows", "60",
            "--shift-step", str(self.shift_step), "--steps-file", self.steps_file(rank)])

    def start_agent(self, rank):
        self.cluster.start_with_settings("agent", {
            "node": f"agent-{rank}", "zone": "a", "traffic_listen": free_address(),
            "admin_listen": free_address(),
            "entries": [e["control_listen"] for e in self.cluster.entries.values()],
            "controllers": self.cluster.control_addresses(),
            "backend": {"address": self.peers[rank], "models": ["moe"]},
            "group": {"name": "moe", "rank": rank, "ranks": RANKS, "experts": EXPERTS,
                      "layers": LAYERS, "slots_per_rank": SLOTS}})

    def start(self):
        for rank in range(RANKS):
            self.start_rank(rank)
        for rank in range(RANKS):
            self.start_agent(rank)

    def status(self):
        done = self.cluster.operator("status", "--json")
        groups = json.loads(done.stdout).get("groups", []) if done.returncode == 0 else []
        return groups[0] if groups else {"step": 0, "map_in_force": 0, "proposed_map": 0,
                                         "changed_map": 0, "skew": 0}

    def records(self):
        """Steps of each rank: {step: (map, seconds, [tokens of each layer])}."""
        ranks = []
        for rank in range(RANKS):
            steps = {}
            with open(self.steps_file(rank)) as file:
                for line in file:
                    step, version, millis, *tokens = line.split()
                    known = steps.setdefault(
                        int(step), (int(version), int(millis) / 1000, [float(t) for t in tokens]))
                    assert known[0] == int(version), f"rank {rank} repeated step {step}"
            ranks.append(steps)
        return ranks

    def await_steps(self, count, what):
        start = self.status()["step"]
        wait_until(lambda: self.status()["step"] > start + count, 60, what)


def check_one_map(records):
    """Every step has one map on all ranks, and no rank left one out but after its restart."""
    last = min(max(steps) for steps in records)
    missing = 0
    for step in range(1, last + 1):
        maps = {steps[step][0] for steps in records if step in steps}
        missing += sum(step not in steps for steps in records)
        assert len(maps) == 1, f"step {step} ran under the maps {maps}"
    assert missing <= MISSING_AFTER_RESTART, f"{missing} steps are missing"
    return last


def skew(records, first, last):
    """Tokens of the slowest rank over the mean, over the layers and steps of a range."""
    highest = total = 0
    for step in range(first, last + 1):
        loads = [steps[step][2] for steps in records if step in steps]
        if len(loads) < RANKS:
            continue
        for layer in zip(*loads):
            highest += max(layer)
            total += sum(layer) / RANKS
    return highest / total


def longest_gap(records, start, end):
    """Longest time between two steps that a rank completed one after the other."""
    gap = 0
    for steps in records:
        times = sorted(t for _, t, _ in steps.values() if start <= t <= end)
        gap = max([gap, *(b - a for a, b in zip(times, times[1:]))])
    return gap


def first_step_of(records, version):
    return min(step for step, (used, _, _) in records[0].items() if used == version)


def pause_rank(cluster):
    cluster.processes["rank-1"].send_signal(signal.SIGSTOP)
    time.sleep(2)
    cluster.processes["rank-1"].send_signal(signal.SIGCONT)


def check_pin(group):
    assert group.cluster.operator("pin", "--group", "none").returncode == 1, "an unknown group"
    assert group.cluster.operator("pin", "--group", "moe").returncode == 0
    assert group.status()["pinned"]
    assert group.cluster.operator("pin", "--group", "moe", "--off").returncode == 0
    assert not group.status()["pinned"]


def start_group(cluster, policy="incremental"):
    cluster.controller_extra = {"experts": {
        "policy": policy, "horizon_steps": HORIZON, "refill_steps": REFILL, "half_life_ms": 500,
        "expert_bytes": 1 << 20, "weight_bytes_per_second": 16 << 20}}
    cluster.add_controllers(["a", "b", "c"])
    cluster.add_entry("entry-a", controllers=cluster.control_addresses())
    group = Group(cluster)
    group.start()
    wait_until(lambda: group.status()["step"] > 100, 40, "the group's steps")
    return group


def main(program):
    with Cluster(program) as cluster:
        group = start_group(cluster)
        wait_until(lambda: group.status()["map_in_force"] >= 2, 40, "a first better map")

        # The leader is lost while the ranks load the map that follows the shift.
        wait_until(lambda: group.status()["step"] >= SHIFT_STEP, 60, "the shift")
        before = group.status()["map_in_force"]
        wait_until(lambda: group.status()["changed_map"] > before, 30, "a change after the shift")
        changed = group.status()["changed_map"]
        leader = cluster.leader()
        lost_at = time.time()
        cluster.kill(leader)
        wait_until(lambda: group.status()["map_in_force"] >= changed, 40, "the map under way")
        cluster.add_controller(leader)

        paused_at = time.time()
        pause_rank(cluster)
        group.await_steps(50, "steps after the pause")
        cluster.kill("rank-2")
        time.sleep(0.5)
        group.start_rank(2)
        group.await_steps(2 * HORIZON, "steps after the restart")
        check_pin(group)
        status = group.status()
        print(group.cluster.operator("status").stdout)

        records = group.records()
        last = check_one_map(records)
        changed_at = first_step_of(records, changed)
        gap = longest_gap(records, lost_at, lost_at + 2)
        print(f"{last} steps under {status['map_in_force']} maps, load average "
              f"{os.getloadavg()[0]:.1f}")
        print(f"longest gap between steps in the 2 s after the loss of the leader: {gap:.3f} s, "
              f"around a pause of 2 s: {longest_gap(records, paused_at - 1, paused_at + 4):.3f} s")
        print(f"skew of the 100 steps after the shift {skew(records, SHIFT_STEP, SHIFT_STEP + 99):.3f}, "
              f"of the last 100 steps {skew(records, last - 99, last):.3f}; "
              f"map {changed} from step {changed_at}")
        assert gap < LONGEST_GAP, "the loss of the leader held up a step"
        assert skew(records, last - 99, last) < skew(records, SHIFT_STEP, SHIFT_STEP + 99)
        assert status["bytes_moved"] > 0 and status["reason"]


if __name__ == "__main__":
    main(sys.argv[1])
