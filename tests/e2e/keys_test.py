"""Guards against routes that open to everybody when the last tenant is taken away: in a running
gateway, after its restart without a leader, and after a restart of the controllers."""

import http.client
import json
import signal
import sys
import time

from cluster import Cluster
from gateway_test import Deployment, call, config, start_engine


def config_with(version, tenants):
    document = json.loads(config(version))
    document["tenants"] = tenants
    return json.dumps(document)


def status(d, key):
    try:
        return d.request("/book/1", key=key)[0]
    except (OSError, http.client.HTTPException):
        return 0


def stop(d, name, which=signal.SIGKILL):
    d.cluster.processes[name].send_signal(which)
    d.cluster.processes[name].wait()


def nobody_is_admitted(d, what):
    d.wait_for("401 " + what, lambda: status(d, "key-1") == 401)
    for key in ("key-1", "never-held", ""):
        assert status(d, key) == 401, (what, key)


def main(program):
    with Cluster(program) as cluster:
        d = Deployment(cluster)
        engine = start_engine("engine-1")
        for number in range(3):
            d.start_controller(number)
        d.start_gateway()
        assert d.control("PUT", "/config", config(1))[0] == 200
        d.register(engine, 1)
        d.wait_for("a served request", lambda: status(d, "key-1") == 200)
        assert status(d, "never-held") == 401

        assert d.control("PUT", "/config", config_with(2, []))[0] == 200
        nobody_is_admitted(d, "without tenants")

        # The other controllers learn with the next heartbeats that the change is committed.
        time.sleep(1)
        # One controller is no majority, so the gateway starts without a leader.
        stop(d, "gateway")
        for number in (0, 1):
            stop(d, f"controller-{number}")
        d.start_gateway()
        d.wait_for("a gateway without a leader",
                   lambda: call(d.probe, "GET", "/readyz")[0] == 200, 20)
        nobody_is_admitted(d, "without a leader")

        stop(d, "controller-2")
        for number in range(3):
            d.start_controller(number, first_start=False)
        sent, document = d.control("GET", "/config")
        assert sent == 200 and json.loads(document)["tenants"] == [], document
        nobody_is_admitted(d, "after a restart of the controllers")

        assert d.control("PUT", "/config", config_with(3, None))[0] == 200
        nobody_is_admitted(d, "with null in place of tenants")
        assert d.control("PUT", "/config", config(4))[0] == 200
        d.register(engine, 50)
        d.wait_for("a served request", lambda: status(d, "key-1") == 200)
    print("keys test passed")


if __name__ == "__main__":
    main(sys.argv[1])
