"""Relays between the processes of a deployment, through which zones can be cut off from each other."""

import asyncio
import re
import threading

# Every link begins with a hello that carries the zone of its sender (docs/design.md, section 6).
ZONE_NAME = re.compile(rb"\x06(zone-[a-z])")
FRAME_HEADER = 4


class ZoneNetwork:
    """One relay for each address that processes of several zones connect to.

    A blocked direction holds bytes back, as a network that drops packets does; they arrive after
    the heal if the connection still exists. A connection is not made while either of its directions
    is blocked."""

    def __init__(self):
        self.blocked = set()
        self.zones = set()
        self.changed = None
        self.generation = 0
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self._call(self._prepare())

    def relay(self, zone, target):
        """Starts a relay before a process of `zone` and returns the relay's address."""
        self.zones.add(zone)
        return self._call(self._listen(zone, target))

    def cut(self, zone, outwards=True, inwards=True):
        """Cuts a zone off from all others, or only the bytes that leave or reach it."""
        others = self.zones - {zone}
        directions = {(zone, o) for o in others if outwards} | {(o, zone) for o in others if inwards}
        self._call(self._set(self.blocked | directions))

    def heal(self):
        self._call(self._set(set()))

    def silence(self):
        """The connections that are open now forward nothing more; new ones work."""
        self.generation += 1

    def close(self):
        self._call(self._cancel())
        self.loop.call_soon_threadsafe(self.loop.stop)

    def _call(self, work):
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(timeout=10)

    async def _prepare(self):
        self.changed = asyncio.Condition()

    async def _cancel(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=5) if tasks else None

    async def _set(self, blocked):
        async with self.changed:
            self.blocked = blocked
            self.changed.notify_all()

    async def _listen(self, zone, target):
        async def accept(reader, writer):
            try:
                await self._serve(zone, target, reader, writer)
            except asyncio.CancelledError:
                writer.close()
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def _open(self, *directions):
        """Returns once none of the directions is blocked."""
        while not self.blocked.isdisjoint(directions):
            async with self.changed:
                await self.changed.wait_for(lambda: self.blocked.isdisjoint(directions))

    async def _serve(self, zone, target, reader, writer):
        generation = self.generation
        try:
            head = await reader.readexactly(FRAME_HEADER)
            head += await reader.readexactly(int.from_bytes(head, "big"))
            found = ZONE_NAME.search(head)
            source = found.group(1).decode() if found else zone
            await self._open((source, zone), (zone, source))
            host, port = target.rsplit(":", 1)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            return
        far_writer.write(head)
        await asyncio.gather(
            self._forward(reader, far_writer, (source, zone), generation),
            self._forward(far_reader, writer, (zone, source), generation))

    async def _forward(self, reader, writer, direction, generation):
        try:
            while data := await reader.read(65536):
                await self._open(direction)
                if generation != self.generation:
                    # Held open and silent until its sender closes it.
                    while await reader.read(65536):
                        pass
                    break
                writer.write(data)
                await writer.drain()
            await self._open(direction)
        except OSError:
            pass
        finally:
            writer.close()
