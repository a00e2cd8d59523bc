"""Stand-in of an engine that answers the first attempt of each request byte by byte as a script says, and
further attempts soundly."""

import http.client
import socket
import struct
import threading
import time

# Small, so that a long request is still being written when its answer comes.
RECEIVE_BUFFER = 4096


class Step:
    """One action of a script beside bytes to send, which hold `{id}` in place of the request's id."""

    def __init__(self, name, value=0):
        self.name, self.value = name, value


READ_BODY = Step("read the body")
RESET = Step("reset")
# An end of the answer in good order; the rest of the request is still read.
CLOSE = Step("close")
# The same, but the rest of the request meets a closed connection.
CLOSE_AT_ONCE = Step("close at once")
# Nothing more is sent until the peer closes.
HOLD = Step("hold")


def pause(seconds):
    return Step("pause", seconds)


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Runs:
    """Numbers of the attempts of each request, over all engines."""

    def __init__(self):
        self.lock, self.attempts = threading.Lock(), {}

    def add(self, number):
        with self.lock:
            self.attempts[number] = self.attempts.get(number, 0) + 1
            return self.attempts[number]

    def of(self, number):
        return self.attempts.get(number, 0)


class ScriptedEngine:
    def __init__(self, name, scripts, runs, identify, sound):
        """`scripts` by the last part of the path. `identify(path, headers)` gives a request's id and
        `sound(path, headers)` a sound answer."""
        self.name, self.scripts, self.runs = name, scripts, runs
        self.identify, self.sound = identify, sound
        # Last parts of the paths of requests that have come.
        self.requested = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.server_port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while line := reader.readline():
                headers = http.client.parse_headers(reader)
                path = line.split()[1].decode()
                self.requested.add(path.rsplit("/", 1)[-1])
                number = self.identify(path, headers)
                script = self.script_of(path, number) or [READ_BODY, self.sound(path, headers)]
                body = int(headers.get("Content-Length", 0))
                if not self.play(script, connection, reader, body, number):
                    return
        except (OSError, ValueError):
            pass
        finally:
            reader.close()
            connection.close()

    def script_of(self, path, number):
        first = self.runs.add(number) == 1
        return self.scripts.get(path.rsplit("/", 1)[-1]) if first else None

    def play(self, script, connection, reader, body, number):
        """Returns whether the connection may serve another request."""
        for step in script:
            if isinstance(step, bytes):
                connection.sendall(step.replace(b"{id}", number.encode()))
            elif step is READ_BODY:
                reader.read(body)
                body = 0
            elif step is RESET:
                # The reader holds the descriptor too.
                reader.close()
                reset(connection)
                return False
            elif step in (CLOSE, CLOSE_AT_ONCE):
                connection.shutdown(socket.SHUT_WR)
                while step is CLOSE and connection.recv(65536):
                    pass
                return False
            elif step is HOLD:
                while connection.recv(65536):
                    pass
                return False
            else:
                time.sleep(step.value)
        if body > 0:
            reader.read(body)
        return True
