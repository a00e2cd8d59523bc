"""Guards mixed load on the whole deployment (7 entries, 15 backend servers with agents): a wrong,
cut or lost answer, a booking that runs twice, and a refusal that is false."""

import json
import os
import sys

from cluster import Cluster, wait_until

FOLDER = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "examples", "kupa")


def read(name):
    with open(os.path.join(FOLDER, name)) as file:
        return file.read()


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

        done, result, records = cluster.run_plan(plan)
        print(done.stdout, done.stderr)
        checked = cluster.check(records)
        print(checked.stdout)
        assert checked.returncode == 0
        assert "wrong 0, refused 0, failed 0, broken 0, unreachable 0" in done.stdout
        for cls in ("interactive", "transactional", "batch"):
            assert result["classes"][cls]["outcomes"]["in_time"] > 50, cls


if __name__ == "__main__":
    main(sys.argv[1])
