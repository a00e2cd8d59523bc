"""Runs `apply` and `status` against a stand-in for a controller's admin address."""

import http.server
import json
import subprocess
import sys
import tempfile
import threading

from cluster import SHEET, free_address

TOKEN = "operator-token"


class StandIn(http.server.BaseHTTPRequestHandler):
    """Answers like the leader, or as another replica if `leader` is false."""

    leader = True
    state = "committed"
    changes = []

    def reply(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("content-type", "application/json")
        self.send_header("content-length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def check(self):
        if self.headers.get("authorization") != "Bearer " + TOKEN:
            self.reply(401, {"error": "unauthorized"})
        elif not self.leader:
            self.reply(421, {"error": "not-leader"})
        else:
            return True
        return False

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers["content-length"])))
        if self.check():
            self.changes.append(body)
            self.reply(202, {"state": "pending"})

    def do_GET(self):
        if not self.check():
            return
        zones = [{"zone": "z1", "entries": 2, "applied": 2, "in_force": True}]
        in_force = {"version": 4, "known": True, "zones": zones}
        winner = {"version": 4, "change_id": "c-1", "author": "ayse"}
        if self.path == "/v1/status":
            self.reply(200, {"config": winner, "in_force": in_force, "last_index": 9, "records": 3,
                             "replicas": []})
            return
        self.reply(200, {"state": self.state, "version": 4, "winner": winner, "in_force": in_force,
                         "in_force_everywhere": self.state == "committed"})

    def log_message(self, *unused):
        pass


class OtherReplica(StandIn):
    leader = False


def serve(handler):
    address = free_address()
    host, port = address.split(":")
    server = http.server.ThreadingHTTPServer((host, int(port)), handler)
    # A client that stops waiting closes its connection; that is part of the test.
    server.handle_error = lambda request, address: None
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return address


def run(program, *arguments):
    return subprocess.run([program, *arguments], capture_output=True, text=True, timeout=30)


def main():
    program = sys.argv[1]
    leader, other, nobody = serve(StandIn), serve(OtherReplica), free_address()
    with tempfile.NamedTemporaryFile("w") as sheet, tempfile.NamedTemporaryFile("w") as token:
        sheet.write(SHEET)
        sheet.flush()
        token.write(TOKEN + "\n")
        token.flush()
        common = ["--controller", nobody, "--controller", other, "--controller", leader,
                  "--token-file", token.name]
        apply = ["apply", *common, "--sheet", sheet.name, "--base-version", "3"]
        # Guards against a change that only the first controller in the list can take.
        done = run(program, *apply, "--change-id", "c-1")
        assert done.returncode == 0, done
        assert "version 4" in done.stdout and "zone z1: 2 of 2" in done.stdout, done.stdout
        assert StandIn.changes[0]["change_id"] == "c-1", StandIn.changes
        assert StandIn.changes[0]["sheet"] == SHEET
        # Guards against a lost race that looks like a success.
        StandIn.state = "conflict"
        lost = run(program, *apply)
        assert lost.returncode == 4 and "ayse" in lost.stdout, lost
        # Guards against an unknown outcome that looks like a failure without a way to resend.
        StandIn.state = "pending"
        unknown = run(program, *apply, "--change-id", "c-2", "--timeout-ms", "500")
        assert unknown.returncode == 1 and "c-2" in unknown.stderr, unknown
        status = run(program, "status", *common)
        assert status.returncode == 0 and "version 4 by ayse" in status.stdout, status
        as_json = run(program, "status", *common, "--json")
        assert json.loads(as_json.stdout)["records"] == 3, as_json
        alone = run(program, "status", "--controller", nobody, "--token-file", token.name,
                    "--timeout-ms", "300")
        assert alone.returncode == 1, alone
        assert run(program, "apply", *common).returncode == 2
        token.seek(0)
        token.write("x")
        token.flush()
        assert run(program, "status", *common).returncode == 1
    print("operator_test: passed")


if __name__ == "__main__":
    main()
