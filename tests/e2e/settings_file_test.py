"""Changes the settings files of a gateway, a controller and a sidecar while they run."""

import json
import os
import signal
import sys
import time

from cluster import Cluster, free_address
from gateway_test import Deployment, call, config, start_engine

ROLES = ["controller-0", "gateway", "sidecar"]


def start_sidecar(d):
    path = d.settings("sidecar", {"role": "sidecar", "engine": free_address(),
                                  "controllers": d.controllers, "link_port": d.link_port})
    d.cluster.start("sidecar", ["sidecar", "--settings", path])


def disturb(path, signalled):
    """Replaces, cuts, removes and restores one settings file; the processes look each second."""
    with open(path) as file:
        text = file.read()
    values = json.loads(text)
    for changed in (json.dumps({**values, "unknown": 1}), text[:len(text) // 2], "", None, text):
        if changed is None:
            os.remove(path)
            os.mkdir(path)
        else:
            if os.path.isdir(path):
                os.rmdir(path)
            with open(path + ".next", "w") as file:
                file.write(changed)
            os.replace(path + ".next", path)
        signalled.send_signal(signal.SIGHUP)
        time.sleep(0.3)
    time.sleep(1.2)


def main(program):
    with Cluster(program) as cluster:
        d = Deployment(cluster)
        for number in range(3):
            d.start_controller(number)
        d.start_gateway()
        start_sidecar(d)
        assert d.control("PUT", "/config", config(1))[0] == 200
        d.register(start_engine("engine-1"), 1)
        d.wait_for("a ready gateway", lambda: call(d.probe, "GET", "/readyz")[0] == 200)
        for name in ROLES:
            process = cluster.processes[name]
            disturb(os.path.join(d.dir, name + ".json"), process)
            assert process.poll() is None, (name, process.returncode)
        assert call(d.probe, "GET", "/readyz")[0] == 200
        assert d.control("GET", "/config")[0] == 200
        for name in ROLES:
            cluster.processes[name].send_signal(signal.SIGTERM)
        for name in ROLES:
            assert cluster.processes[name].wait(timeout=10) in (0, 3), name
    print("settings file test passed")


if __name__ == "__main__":
    main(sys.argv[1])
