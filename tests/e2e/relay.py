"""A TCP relay whose open connections can become silent for good while new ones work."""

import socket
import threading


class Relay:
    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.generation = 0
        self.refusing = False
        self.sockets = []
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Connections that are open now forward nothing more; they are not closed."""
        self.generation += 1

    def cut(self):
        """Closes all connections and refuses new ones until heal."""
        self.refusing = True
        for s in self.sockets:
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def heal(self):
        self.refusing = False

    def _accept(self):
        while True:
            client, _ = self.listener.accept()
            if self.refusing:
                client.close()
                continue
            try:
                server = socket.create_connection(self.target)
            except OSError:
                client.close()
                continue
            self.sockets += [client, server]
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._forward, daemon=True,
                                 args=(source, sink, self.generation)).start()

    def _forward(self, source, sink, generation):
        try:
            while data := source.recv(65536):
                if generation != self.generation:
                    return
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass
