"""Streams that break off, and callers that resume them with Last-Event-Id."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness  # noqa: E402

ENGINES = 6
FAULTY = 3          # half of the engines, as `garble` has it (share .5)
BROKEN_SHARE = 0.02  # of the answers of a faulty engine (x .02)
EVENTS = 12
STREAMS = 6000
AT_ONCE = 24
HOST = "review.example"


class StreamEngine(harness.Engine):
    """Writes events 1 to EVENTS, or those after Last-Event-Id. A faulty one breaks some of its
    answers off in the middle of an event."""

    def __init__(self, *arguments, faulty=False):
        super().__init__(*arguments)
        self.faulty = faulty
        self.answers = 0
        self.broken = 0

    def breaks_at(self, resumed_after):
        """Event in which this answer is broken off, or none."""
        self.answers += 1
        if not (self.faulty and harness.TROUBLE):
            return None
        allowed = BROKEN_SHARE * self.answers
        # Half of the allowance is left for streams that are resumed, which are few.
        if self.broken + 1 > (allowed if resumed_after else allowed / 2):
            return None
        self.broken += 1
        return resumed_after + 1 if resumed_after else EVENTS // 2

    async def serve(self, method, path, headers, body, writer):
        request = headers.get("request-id", "")
        after = int(headers.get("last-event-id") or 0)
        break_at = self.breaks_at(after)
        self.record(f"run {request} at {self.id} last-event-id={headers.get('last-event-id')}")
        writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
                      f"Response-Signature: {self.id}.{request}\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                      f"Server-Load: {self.running},0,{self.slots}\r\n\r\n").encode())
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number} of {path}\n\n".encode()
            if number == break_at:
                event = event[:len(event) // 2]
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if number == break_at:
                self.record(f"break {request} at {self.id} in event {number}")
                writer.transport.abort()
                return False
            await asyncio.sleep(0.012)
        writer.write(b"0\r\n\r\n")
        return True


async def attempt(address, path, request, last):
    """One attempt of a caller. Returns whether the stream ended as complete, and its event ids."""
    ids = []
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        resume = f"Last-Event-Id: {last}\r\n" if last else ""
        writer.write((f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\n"
                      f"Deadline-Ms: 8000\r\n{resume}Content-Length: 2\r\n"
                      "Connection: close\r\n\r\n{}").encode())
        head = await harness.read_head(reader)
        if head is None:
            return False, ids, None
        status = int(head[0].split()[1])
        if status != 200:
            return False, ids, status
        while True:
            size = int((await reader.readline()).strip() or b"x", 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return True, ids, status
            for line in data.decode().split("\n"):
                if line.startswith("id:"):
                    ids.append(int(line[3:]))
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        return False, ids, None
    finally:
        writer.close()


async def stream(number, fronts, record, broken):
    """One caller: resumes its stream once if the connection breaks, at another gateway."""
    path = f"/write/{number}"
    got = []
    for i in range(2):
        request = f"{number:08x}{i:04x}"
        last = got[-1] if got else 0
        record(f"send {request} {path} last-event-id={last or None}")
        done, ids, status = await asyncio.wait_for(
            attempt(fronts[(number + i) % len(fronts)], path, request, last), 8)
        record(f"answer {request} status={status} complete={done} events={ids}")
        expected = list(range(last + 1, last + 1 + len(ids)))
        if ids != expected:
            broken.append(f"request {request} asked for the events after {last} and got {ids}")
            return
        if done and (last + len(ids)) != EVENTS:
            broken.append(f"request {request} ended as complete after event {last + len(ids)}")
        got += ids
        if done or status is not None and status != 200:
            return


async def case(deployment, record):
    deployment.start_all()
    engines = [StreamEngine(deployment, i, "writer", deployment.zones[i % 3], deployment.seeds,
                            faulty=i < FAULTY) for i in range(ENGINES)]
    for engine in engines:
        await engine.start()
    config = {
        "version": 1,
        "routes": [{"name": "r", "host": HOST, "pathPrefix": "/write/", "kind": "streaming",
                    "timeoutMs": 8000, "targetLatencyMs": 400, "priority": 0, "service": "writer",
                    "attempts": 2, "public": True, "sticky": True, "resumable": True,
                    "targetGapMs": 120}],
        "services": [{"name": "writer", "healthPath": "/healthz", "maxConns": 328,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}
    _, answer = await harness.control(deployment.seeds, "PUT", "/config", config, 20)
    if answer is None or answer[0] != 200:
        raise harness.CouldNotRun(f"the configuration was not acknowledged: {answer}")
    await harness.wait_ready(deployment)
    await asyncio.sleep(4)  # Engines have registered and all machines are in touch.
    fronts = [f"{host}:{deployment.front}" for host in deployment.edge_hosts]
    broken = []
    numbers = iter(range(1, STREAMS + 1))

    async def worker():
        for number in numbers:
            await stream(number, fronts, record, broken)

    began = time.monotonic()
    await asyncio.gather(*(worker() for _ in range(AT_ONCE)))
    for engine in engines:
        record(f"engine {engine.id} faulty={engine.faulty} answers={engine.answers} "
               f"broken off={engine.broken}")
        await engine.stop()
    record(f"{STREAMS} streams in {time.monotonic() - began:.1f} s")
    return broken


harness.run(case, FOLDER)
