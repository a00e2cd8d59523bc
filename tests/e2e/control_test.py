"""Guards control state under failure: operators who race, a resend after a lost answer, a leader
killed and a follower paused while bookings run, and a version that reverts after restarts."""

import signal
import sys
import threading
import time

from cluster import SHEET, Cluster, wait_until

PLAN = {"seconds": 12, "arrivals": "fixed", "kinds": [
    {"name": "quote", "model": "draft", "rate": 20, "timeout_ms": 6000},
    {"name": "booking", "service": "bench", "rate": 10, "timeout_ms": 6000}]}




def write_sheet(cluster, text):
    with open(cluster.sheet, "w") as file:
        file.write(text)


def break_controllers(cluster):
    """Kills the leader and starts it again, then pauses a follower past every lease."""
    time.sleep(2)
    leader = cluster.leader()
    cluster.kill(leader)
    time.sleep(3)
    cluster.add_controller(leader)
    follower = next(n for n in cluster.controllers if n != cluster.leader())
    cluster.processes[follower].send_signal(signal.SIGSTOP)
    time.sleep(4)
    cluster.processes[follower].send_signal(signal.SIGCONT)


def main(program):
    with Cluster(program) as cluster:
        cluster.add_controllers(["a", "b", "c"])
        for zone in "abc":
            cluster.add_entry(f"entry-{zone}", zone, controllers=cluster.control_addresses())
        for zone in "abc":
            cluster.add_backend(f"agent-{zone}", zone)
        cluster.add_service("service-a", "a", "bench")
        cluster.add_service("service-b", "b", "bench")

        # Two operators submit different sheets under the same number; one wins.
        first = cluster.apply_sheet(0, "--change-id", "first")
        assert first.returncode == 0, first.stdout + first.stderr
        write_sheet(cluster, SHEET + "member,club-3,,,,,2,,,\n")
        second = cluster.apply_sheet(0, "--change-id", "second")
        write_sheet(cluster, SHEET)
        assert second.returncode == 4, second.stdout + second.stderr
        assert "first" in second.stdout + second.stderr, second.stdout + second.stderr

        def serves():
            return "whole 30, " in cluster.run_plan({**PLAN, "seconds": 1}, name="probe")[0].stdout
        wait_until(serves, 30, "answers")

        breaker = threading.Thread(target=break_controllers, args=(cluster,))
        breaker.start()
        done, result, records = cluster.run_plan(PLAN)
        breaker.join()
        print(done.stdout, done.stderr)
        checked = cluster.check(records)
        print(checked.stdout)
        assert checked.returncode == 0, "a promise to callers was broken"
        assert result["classes"]["interactive"]["outcomes"]["in_time"] > 200

        # With the leader lost a change is in force everywhere within 8 s.
        cluster.kill(cluster.leader())
        write_sheet(cluster, SHEET + "member,club-4,,,,,2,,,\n")
        started = time.monotonic()
        third = cluster.apply_sheet(1, "--change-id", "third")
        took = time.monotonic() - started
        print(f"change in force {took:.2f} s after the loss of the leader")
        assert third.returncode == 0, third.stdout + third.stderr
        assert took < 8

        # A resend with the same id gets the first result, also after a restart of every process.
        for name in list(cluster.controllers):
            if cluster.processes[name].poll() is None:
                cluster.kill(name)
        for name in list(cluster.controllers):
            cluster.add_controller(name)
        for name in list(cluster.entries):
            cluster.kill(name)
            cluster.start_with_settings("entry", cluster.entries[name])
        wait_until(lambda: cluster.leader() is not None, what="a leader")
        again = cluster.apply_sheet(1, "--change-id", "third")
        assert again.returncode == 0, again.stdout + again.stderr
        wait_until(serves, 30, "answers after the restart of everything")
        late = cluster.apply_sheet(0, "--change-id", "late")
        assert late.returncode == 4, "a version that was replaced was taken again"


if __name__ == "__main__":
    main(sys.argv[1])
