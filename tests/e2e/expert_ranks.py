"""Stand-in of the engines of one expert-parallel group: they begin each pass together and carry out
orders on their expert maps, some of them late or never."""

import http.server
import json
import sys
import threading
import time

EXPERTS, SLOTS, SPARE = 16, 10, 2
PASS_SECONDS = 0.06
COPY_SECONDS = 0.05
MAX_DELAY = 3.0
# As a configuration has it.
ENGINE = {"slots": 12, "kvCapacityTokens": 372000, "stride": 5, "models": [{"name": "m"}],
          "step_ms": 5.85, "read_per_s": 61200.0, "sets": 1, "experts": EXPERTS,
          "placements": SLOTS, "spare": SPARE, "expertMb": 780.0, "linkMbps": 180000.0}


class Rank:
    def __init__(self, number, ranks):
        self.number, self.token, self.sequence = number, 0, 0
        self.counts = [0] * EXPERTS
        self.open_group(ranks)

    def open_group(self, ranks):
        self.map = self.prepared = self.highest = self.held = 0
        self.armed, self.copying = None, None
        # Whole map by version: experts of each rank.
        self.maps = {0: [[e for e in range(EXPERTS) if e % ranks == r] for r in range(ranks)]}

    def finish_copy(self):
        if self.copying and time.time() >= self.copying[1]:
            self.prepared, self.copying = self.copying[0], None


class RankGroup:
    def __init__(self, soak, ranks):
        self.soak, self.lock = soak, threading.Lock()
        self.ranks = [Rank(n, ranks) for n in range(ranks)]
        self.epoch, self.step, self.changes, self.broken = 1, 1, 0, False
        self.born = int(time.time() * 1000)
        self.servers = [self.serve(rank) for rank in self.ranks]
        threading.Thread(target=self.make_passes, daemon=True).start()

    def addresses(self):
        return [f"127.0.0.1:{server.server_port}" for server in self.servers]

    def restart(self):
        """All ranks lose their maps, and the group opens in a new epoch."""
        with self.lock:
            self.epoch += 1
            for rank in self.ranks:
                rank.open_group(len(self.ranks))

    def make_passes(self):
        while not self.soak.stopping:
            time.sleep(PASS_SECONDS)
            with self.lock:
                if not any(r.held == self.step + 1 for r in self.ranks):
                    self.begin_pass()

    def begin_pass(self):
        self.step += 1
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == self.step:
                rank.map, rank.armed, rank.prepared = rank.armed[0], None, 0
                self.changes += rank.number == 0
        maps = [(r.map, r.maps[r.map]) for r in self.ranks]
        if any(m != maps[0] for m in maps) and not self.broken:
            self.broken = True
            self.soak.violation(f"MAP: pass {self.step} begins with {maps}")
        # Every two seconds other experts are in demand.
        hot = int(time.time() / 2) * 5 % EXPERTS
        for rank in self.ranks:
            for expert in range(EXPERTS):
                rank.counts[expert] += 400 if expert in (hot, (hot + 2) % EXPERTS) else 20

    def order(self, rank, order):
        rank.finish_copy()
        if order["epoch"] != self.epoch:
            return 409
        if order["fenceToken"] < rank.token:
            return 412
        rank.token = order["fenceToken"]
        version, step = order.get("version"), order.get("step")
        fits = {
            "prepare": lambda: version > rank.highest and not rank.armed,
            "arm": lambda: rank.prepared == version and step > self.step,
            "disarm": lambda: rank.map != version,
            "hold": lambda: step > self.step and rank.held in (0, step),
            "go": lambda: rank.held == step}[order["op"]]()
        if not fits:
            return 409
        rank.sequence += 1
        if order["op"] == "prepare":
            rank.highest, rank.maps[version] = version, order["map"][0]
            rank.copying = (version, time.time() + COPY_SECONDS)
        elif order["op"] == "arm":
            rank.armed = (version, step)
        elif order["op"] == "disarm":
            rank.armed = None if rank.armed and rank.armed[0] == version else rank.armed
        else:
            rank.held = step if order["op"] == "hold" else 0
        return 202

    def carry_out(self, rank, order):
        with self.lock:
            return self.order(rank, order)

    def report(self, rank):
        with self.lock:
            rank.finish_copy()
            out = {"stage": "hybrid", "busy": False, "sequence": rank.sequence, "queued": 0,
                   "active": 2, "handles": 0, "born": self.born, "size": len(self.ranks),
                   "group": {"name": "g", "epoch": self.epoch, "rank": rank.number, "state": "open"},
                   "step": self.step, "map": rank.map, "prepared": rank.prepared}
            if rank.armed:
                out["armed"] = {"version": rank.armed[0], "step": rank.armed[1]}
            if rank.held:
                out["held"] = rank.held
            return out

    def picked(self, rank, lists):
        with self.lock:
            out = {"step": self.step, "epoch": self.epoch, "counts": list(rank.counts)}
            if lists:
                out["map"] = {"version": rank.map, "experts": [rank.maps[rank.map][rank.number]]}
            return out

    def serve(self, rank):
        group = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self, status, body):
                if group.soak.random.random() < 0.02:
                    self.answer_malformed(body)
                    return
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def answer_malformed(self, body):
                """Would mislead the leader if it were read."""
                group.soak.count("malformed report")
                text = json.dumps({**body, "map": 1 << 40, "counts": [1]}).encode()
                length = f"Content-Length: {len(text)}\r\n".encode()
                head = group.soak.random.choice([
                    b"HTTP/1.1 000 OK\r\n" + length, b"HTTP/1.1 200 OK\r\nX Any: v\r\n" + length,
                    b"HTTP/1.1 200 OK\r\nX: v\r\n\tw\r\n" + length,
                    f"HTTP/1.1 200 OK\r\nContent-Length: {len(text) + 1}\r\n".encode()])
                self.wfile.write(head + b"\r\n" + text)
                self.close_connection = True

            def do_GET(self):
                if self.path == "/report":
                    self.answer(200, group.report(rank))
                else:
                    self.answer(200, group.picked(rank, "lists" in self.path))

            def do_POST(self):
                order = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                luck = group.soak.random.random()
                if luck < 0.15:
                    group.soak.count("order left unanswered")
                    if luck < 0.1:
                        delay = group.soak.random.random() * MAX_DELAY
                        threading.Timer(delay, group.carry_out, (rank, order)).start()
                    self.close_connection = True
                    time.sleep(0.3)
                    return
                self.answer(group.carry_out(rank, order), {})

            def log_message(self, *unused):
                pass

        class Server(http.server.ThreadingHTTPServer):
            def handle_error(self, request, client_address):
                # Sidecars end in the middle of calls.
                if not isinstance(sys.exc_info()[1], OSError):
                    super().handle_error(request, client_address)

        server = Server(("127.0.0.1", 0), Handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server
