"""Guards a minute of mixed load on the whole deployment (7 entries, 15 backend servers with agents)
while every entry and some agents are restarted one after the other: a wrong, cut or missing answer,
a booking that runs twice, and a refusal that is false."""

import json
import os
import sys
import threading
import time

from cluster import Cluster, wait_until

SECONDS = 60
RESTARTED_AGENTS = ("agent-a0", "agent-b1", "service-c0", "agent-c2", "service-a0")

FOLDER = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "examples", "kupa")


def read(name):
    with open(os.path.join(FOLDER, name)) as file:
        return file.read()


class RollingRestart(threading.Thread):
    """Restarts every entry and some agents one after the other, as an operator would."""

    def __init__(self, cluster):
        super().__init__()
        self.cluster = cluster
        self.codes = {}

    def run(self):
        time.sleep(2)
        names = list(self.cluster.entries)
        names += RESTARTED_AGENTS
        for name in names:
            try:
                self.codes[name] = self.cluster.restart_gracefully(name)
                self.wait_for_listener(name)
            except Exception as error:  # Checked by the main thread.
                self.codes[name] = error

    def wait_for_listener(self, name):
        """An operator goes on when the process serves again."""
        log = os.path.join(self.cluster.dir, name + ".log")

        def listens():
            with open(log) as file:
                return file.read().count("name=listening") == 2
        wait_until(listens, what=f"{name} listens again")
        time.sleep(1)


def main(program):
    description = json.loads(read("deployment.json"))
    plan = json.loads(read("plan.json"))
    probe = {"seconds": 1, "arrivals": "fixed", "kinds": [
        {"name": "quote", "model": "draft", "rate": 14, "timeout_ms": 3000},
        {"name": "booking", "service": "bench", "rate": 7, "timeout_ms": 3000}]}
    with Cluster(program, read("sheet.csv")) as cluster:
        cluster.add_deployment(description)

        def serves():
            done = cluster.run_plan(probe, name="probe")[0]
            return "refused 0, failed 0, broken 0, unreachable 0" in done.stdout
        wait_until(serves, 60, "answers from all entries")

        plan["seconds"] = SECONDS
        restart = RollingRestart(cluster)
        restart.start()
        done, result, records = cluster.run_plan(plan)
        unfinished = restart.is_alive()
        restart.join()
        print(done.stdout, done.stderr, restart.codes)
        assert not unfinished, "the restarts did not end within the load"
        assert all(code == 0 for code in restart.codes.values()), restart.codes
        checked = cluster.check(records)
        print(checked.stdout)
        assert checked.returncode == 0
        assert "wrong 0, refused 0, failed 0, broken 0, unreachable 0" in done.stdout
        for cls in ("interactive", "transactional", "batch"):
            assert result["classes"][cls]["outcomes"]["in_time"] > 150, cls


if __name__ == "__main__":
    main(sys.argv[1])
