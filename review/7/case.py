"""A leader that stands still for half a second uses the number of an expert map a second time.

Two ranks of a group, each with its sidecar, and three controllers. The stand-in of the engines follows
the page on `report`, `picked` and `order`, and checks at the begin of each pass that both ranks have the
same map.
"""

import json
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import HOST, TROUBLE, CannotRun, Deployment, Engine, run, send_answer  # noqa: E402

RANKS, EXPERTS, PLACES, SPARE = 2, 16, 10, 2
PASS_S = 0.06
# Of one expert, as the configuration below has it: 780 MB over 180,000 Mbit/s.
COPY_S = 780 * 8 / 180000
# The pages: an order that gets no answer is carried out 2 to 12 s later. Here it is 2 to 6 s.
LATE_MIN_S, LATE_MAX_S = 2.0, 6.0
# More than the leader's lease and less than the time in which another leader is usually elected.
FREEZE_S = 0.48
ROUNDS = 9
TOTAL_S = 95
COUNTS_PER_READ = 400

ENGINE = {"slots": 12, "kvCapacityTokens": 372000, "kvTokenBytes": 96256, "linkMbps": 180000.0,
          "stride": 5, "models": [{"name": "m"}], "step_ms": 5.85, "per_seq_ms": 0.355,
          "context_per_k": 0.036, "read_per_s": 61200.0, "pairs_per_m": 0.325, "chunk": 512,
          "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 139}, "sets": 1,
          "experts": EXPERTS, "placements": PLACES, "spare": SPARE, "expertMb": 780.0,
          "expertShare": 0.85, "form_ms": 600.0}
CONFIG = {"version": 1,
          "routes": [{"name": "quote", "host": HOST, "pathPrefix": "/quote/", "kind": "streaming",
                      "timeoutMs": 8000, "targetLatencyMs": 400, "priority": 0,
                      "service": "writer", "attempts": 2, "resumable": True,
                      "targetGapMs": 120}],
          "services": [{"name": "writer", "healthPath": "/healthz", "maxConns": 328,
                        "engine": ENGINE}],
          "tenants": [{"name": "club", "apiKeys": ["key-1"]}]}


class Rank:
    def __init__(self, number):
        self.number = number
        self.highest = self.map = self.prepared = 0
        self.ready_at = 0.0
        # Experts by rank, of each version that this rank was given.
        self.contents = {0: [[e for e in range(EXPERTS) if e % RANKS == r] for r in range(RANKS)]}
        self.armed, self.held, self.fence, self.sequence = None, 0, 0, 0
        self.counts = [0] * EXPERTS
        # An order that was left unanswered: its body, when it came.
        self.late = None


class Group:
    """The ranks of one group, which begin each pass together."""

    def __init__(self, record):
        self.record, self.lock = record, threading.Lock()
        self.ranks = [Rank(n) for n in range(RANKS)]
        self.step, self.broken, self.changes = 1, [], 0
        self.hot, self.counting = (0, 2), True
        # While set, the next prepare order of each rank is left unanswered.
        self.leave_prepares = False
        self.left_at = None
        self.late_orders = self.orders = 0

    def make_passes(self):
        while True:
            time.sleep(PASS_S)
            with self.lock:
                self.carry_out_late()
                if not any(r.held == self.step + 1 for r in self.ranks):
                    self.begin_pass()

    def begin_pass(self):
        self.step += 1
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == self.step:
                rank.map, rank.armed = rank.armed[0], None
                self.changes += rank.number == 0
        maps = [(r.map, r.contents[r.map]) for r in self.ranks]
        if any(m != maps[0] for m in maps) and (not self.broken or self.broken[-1] != maps):
            self.broken.append(maps)
            self.record.line(f"pass {self.step} begins with different maps:")
            for rank, (version, content) in zip(self.ranks, maps):
                self.record.line(f"    rank {rank.number}: version {version} {content}")

    def carry_out_late(self):
        for rank in self.ranks:
            if rank.late and time.time() - rank.late[1] >= LATE_MAX_S:
                self.carry_out(rank)

    def carry_out(self, rank):
        order, _ = rank.late
        rank.late = None
        self.record.line(f"rank {rank.number} carries out the unanswered order now: "
                         f"{self.order(rank, order)}")

    def order(self, rank, order):
        rank.ready()
        if order.get("epoch", 1) != 1:
            return 409
        if order.get("fenceToken", 0) < rank.fence:
            return 412
        rank.fence = order.get("fenceToken", rank.fence)
        operation, version, step = order["op"], order.get("version"), order.get("step")
        if operation == "prepare":
            held = rank.contents[rank.map][rank.number]
            new = len(set(order["map"][0][rank.number]) - set(held))
            if version <= rank.highest or rank.armed or new > SPARE:
                return 409
            rank.highest = version
            rank.contents[version] = order["map"][0]
            rank.copying, rank.ready_at = version, time.time() + COPY_S * new
        elif operation == "arm":
            if rank.prepared != version or step <= self.step:
                return 409
            rank.armed = (version, step)
        elif operation == "disarm":
            if rank.map == version:
                return 409
            if rank.armed and rank.armed[0] == version:
                rank.armed = None
            return 200
        elif operation == "hold":
            if step <= self.step or (rank.held and rank.held != step):
                return 409
            rank.held = step
        elif operation == "go":
            if rank.held != step:
                return 409
            rank.held = 0
        else:
            return 400
        rank.sequence += 1
        return 202

    def on_order(self, rank, order):
        """Returns a status, or nothing if the order is left unanswered."""
        with self.lock:
            self.orders += 1
            what = f"{order['op']} {order.get('version', order.get('step'))}"
            if self.leave_prepares and order["op"] == "prepare":
                if rank.late is None and not (rank.number in self.left):
                    rank.late = (order, time.time())
                    self.left.add(rank.number)
                    self.late_orders += 1
                    self.record.line(f"rank {rank.number} leaves {what} unanswered: "
                                     f"{order['map'][0]}")
                    if len(self.left) == RANKS:
                        self.leave_prepares = False
                        self.left_at = time.time()
                    return None
            # The unanswered order of the last rank, which is due at any time between 2 and 12 s, happens
            # to be carried out just before a newer one.
            if (rank.late and rank.number == RANKS - 1 and order["op"] == "prepare" and
                    time.time() - rank.late[1] >= LATE_MIN_S):
                self.carry_out(rank)
            status = self.order(rank, order)
            more = f": {order['map'][0]}" if order["op"] == "prepare" else ""
            self.record.line(f"rank {rank.number} gets {what}, term {order['fenceToken']}, answers "
                             f"{status}{more}")
            return status

    def report(self, rank):
        with self.lock:
            rank.ready()
            out = {"stage": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}],
                   "busy": False, "sequence": rank.sequence, "queued": 0, "active": 2,
                   "kvUsed": 1000, "kvTotal": 372000, "handles": 0, "born": 1700000000000,
                   "group": {"name": "g", "epoch": 1, "rank": rank.number, "state": "open"},
                   "size": RANKS, "step": self.step, "map": rank.map, "prepared": rank.prepared}
            if rank.armed:
                out["armed"] = {"version": rank.armed[0], "step": rank.armed[1]}
            if rank.held:
                out["held"] = rank.held
            return out

    def picked(self, rank, lists):
        with self.lock:
            if lists:
                return {"step": self.step, "epoch": 1,
                        "map": {"version": rank.map,
                                "experts": [rank.contents[rank.map][rank.number]]}}
            if self.counting:
                for expert in range(EXPERTS):
                    rank.counts[expert] += COUNTS_PER_READ if expert in self.hot else 20
            return {"step": self.step, "epoch": 1, "counts": list(rank.counts)}


def ready(rank):
    if rank.ready_at and time.time() >= rank.ready_at:
        rank.prepared, rank.ready_at = rank.copying, 0.0


Rank.ready = ready


def leader_of(d):
    for host in d.cores:
        try:
            connection = d.call_direct(host)
        except OSError:
            continue
        if connection == 200:
            return host
    return None


def start_rank(d, group, rank):
    def answer(engine, connection, method, target, headers, body):
        if target == "/order":
            status = group.on_order(rank, json.loads(body))
            if status is None:
                # No answer: the caller gives up by itself.
                time.sleep(1)
                raise OSError
            send_answer(connection, headers, status, b"{}", {"Content-Type": "application/json"})
            return
        out = group.report(rank) if target == "/report" else group.picked(rank, "lists" in target)
        send_answer(connection, headers, 200, json.dumps(out).encode(),
                    {"Content-Type": "application/json"})
    engine = Engine(d, f"i-rank-{rank.number}", "writer", answer)
    d.start_sidecar(rank.number, engine.address)


def next_pair(group, avoid=()):
    """Two experts that only one rank has, and that are not in demand already."""
    content = group.ranks[0].contents[group.ranks[0].map]
    for rank in range(RANKS):
        others = {e for r in range(RANKS) if r != rank for e in content[r]}
        alone = [e for e in content[rank] if e not in others and e not in avoid]
        if len(alone) >= 2:
            return tuple(alone[:2])
    raise CannotRun("no two experts are on one rank only")


def trouble_round(record, d, group, end):
    """Returns once the change of the map is over, or nothing more is to be expected."""
    leader = leader_of(d)
    if leader is None:
        return
    with group.lock:
        group.left, group.left_at, group.leave_prepares = set(), None, True
        group.hot = next_pair(group, group.hot)
        record.line(f"other experts are in demand: {group.hot}")
    while group.left_at is None and time.time() < end:
        time.sleep(0.002)
    if group.left_at is None:
        return
    process = d.processes[f"controller-{leader}"]
    process.send_signal(signal.SIGSTOP)
    record.line(f"the leader, {leader}, stands still")
    with group.lock:
        group.counting = False
    time.sleep(FREEZE_S)
    process.send_signal(signal.SIGCONT)
    record.line("the leader goes on")
    while time.time() < group.left_at + LATE_MIN_S + 0.1:
        time.sleep(0.02)
    with group.lock:
        group.hot, group.counting = next_pair(group, group.hot), True
        record.line(f"other experts are in demand: {group.hot}")
    changes = group.changes
    while time.time() < min(end, group.left_at + LATE_MAX_S + 0.5) and not group.broken:
        if group.changes > changes and all(r.late is None for r in group.ranks):
            break
        time.sleep(0.05)


def case(record):
    end = time.time() + TOTAL_S
    with Deployment(record, gateways=0) as d:
        if d.call("PUT", "/config", json.dumps(CONFIG))[0] != 200:
            raise CannotRun("the configuration was not accepted")
        group = Group(record)
        group.left = set()
        for rank in group.ranks:
            start_rank(d, group, rank)
        threading.Thread(target=group.make_passes, daemon=True).start()
        began = time.time()
        while group.changes == 0 and time.time() < began + 20:
            time.sleep(0.1)
        if group.changes == 0:
            raise CannotRun("no map was ever changed")
        rounds = 0
        while rounds < ROUNDS and time.time() < end - 6 and not group.broken:
            rounds += 1
            time.sleep(1.5)
            if TROUBLE:
                trouble_round(record, d, group, end)
            else:
                with group.lock:
                    group.hot = next_pair(group, group.hot)
                time.sleep(3)
        record.line(f"{rounds} rounds, {group.changes} changes of the map, {group.orders} orders, "
                    f"{group.late_orders} of them without an answer")
        return not group.broken


run(FOLDER, case)
