"""Evacuates availability zones through controllers and a gateway that run as processes."""

import itertools
import sys
import threading

from cluster import Cluster
from gateway_test import Deployment, Engine, call, config, start_engine


class TwoZones(Deployment):
    """The gateway's deployment with an engine in each of two zones; the gateway prefers its own."""

    def __init__(self, cluster):
        super().__init__(cluster)
        self.zones = ["a", "b"]
        self.engines = {zone: start_engine("engine-" + zone) for zone in self.zones}
        self.zone_of = {engine.name: zone for zone, engine in self.engines.items()}
        self.stopped = threading.Event()

    def keep_registered(self):
        """Repeats the registrations as engines do, also while controllers are down."""
        for sequence in itertools.count(1):
            for zone, engine in self.engines.items():
                try:
                    self.register(engine, sequence, zone=zone)
                except AssertionError:
                    pass
            if self.stopped.wait(1):
                return

    def used(self, requests=8):
        """Zones that requests reach."""
        zones = set()
        for _ in range(requests):
            status, _, _ = self.request("/book/1")
            zones.add(self.zone_of[Engine.seen[-1][3]] if status == 200 else status)
        return zones


def evacuates(d):
    """Guards against requests to an evacuated zone, and against a zone that stays empty."""
    assert d.control("POST", "/evacuate/a")[0] == 200
    d.wait_for("no request to zone a", lambda: d.used() == {"b"}, 5)
    assert d.control("POST", "/evacuate/a")[0] == 200
    assert d.used() == {"b"}
    assert d.control("DELETE", "/evacuate/a")[0] == 200
    d.wait_for("requests to zone a", lambda: d.used() == {"a"}, 5)


def rejects(d):
    """Guards against calls that are taken for orders."""
    assert d.control("POST", "/evacuate/a", "{}")[0] == 400
    assert d.control("PUT", "/evacuate/a")[0] == 405
    assert d.control("POST", "/evacuate/nowhere")[0] == 404
    assert d.used() == {"a"}


def survives(d, cluster):
    """Guards against an acknowledged evacuation that is lost with the leader, in a restart of all
    controllers or by a gateway that starts anew."""
    assert d.control("POST", "/evacuate/a")[0] == 200
    for number in range(3):
        cluster.processes[f"controller-{number}"].kill()
        cluster.processes[f"controller-{number}"].wait()
    cluster.processes["gateway"].kill()
    cluster.processes["gateway"].wait()
    for number in range(3):
        d.start_controller(number, first_start=False)
    d.start_gateway()
    d.wait_for("a ready gateway", lambda: call(d.probe, "GET", "/readyz")[0] == 200)
    assert d.used() <= {"b", 503}, d.used()
    d.wait_for("requests to zone b", lambda: d.used() == {"b"}, 10)


def empties_all(d):
    """Guards against callers who wait although no zone is left."""
    assert d.control("POST", "/evacuate/b")[0] == 200
    d.wait_for("refusals", lambda: d.used() == {503}, 5)
    assert d.control("DELETE", "/evacuate/a")[0] == 200
    d.wait_for("requests to zone a", lambda: d.used() == {"a"}, 5)


def main(program):
    with Cluster(program) as cluster:
        d = TwoZones(cluster)
        for number in range(3):
            d.start_controller(number)
        d.start_gateway()
        assert d.control("PUT", "/config", config(1))[0] == 200
        threading.Thread(target=d.keep_registered, daemon=True).start()
        d.wait_for("a ready gateway", lambda: call(d.probe, "GET", "/readyz")[0] == 200)
        d.wait_for("requests to zone a", lambda: d.used() == {"a"})
        evacuates(d)
        rejects(d)
        survives(d, cluster)
        empties_all(d)
        d.stopped.set()
    print("evacuation test passed")


if __name__ == "__main__":
    main(sys.argv[1])
