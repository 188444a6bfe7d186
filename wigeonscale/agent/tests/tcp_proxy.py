"""A TCP proxy that can silently drop or delay traffic, to simulate a silent link."""

__all__ = ["TcpProxy"]

import asyncio


class TcpProxy:
    """Forwards connections to an address; can drop or hold back their data."""

    def __init__(self, target):
        self._target = target
        self._muted: set[str] = set()
        self._connections = set()
        self._drop_all = False
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._accepted_one = asyncio.Event()
        self.accepted = 0

    async def start(self, case):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        case.addCleanup(self.stop)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def mute_open(self, direction):
        """Drop data in direction "in" or "out" on the currently open connections."""
        for conn in self._connections:
            conn.add(direction)

    def mute_all(self):
        """Drop all data, also on new connections."""
        self._drop_all = True

    def pause(self):
        """Hold back all data until :meth:`go_on`, as a process that stands still."""
        self._is_open.clear()

    def go_on(self):
        """Forward the data held back, and all further data."""
        self._is_open.set()

    async def until_accepted(self, count):
        """Wait until this many connections were accepted in total."""
        while self.accepted < count:
            self._accepted_one.clear()
            await self._accepted_one.wait()

    async def stop(self):
        self._server.close()
        for conn in list(self._connections):
            conn.task.cancel()
        await asyncio.gather(
            *(conn.task for conn in self._connections), return_exceptions=True
        )

    async def _serve(self, reader, writer):
        conn = _Connection(asyncio.current_task())
        self._connections.add(conn)
        self.accepted += 1
        self._accepted_one.set()
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                self._copy(reader, target_writer, conn, "in"),
                self._copy(target_reader, writer, conn, "out"),
            )
        except OSError:
            pass
        finally:
            self._connections.discard(conn)
            writer.close()

    async def _copy(self, reader, writer, conn, direction):
        while data := await reader.read(1 << 16):
            await self._is_open.wait()
            if not self._drop_all and direction not in conn:
                writer.write(data)
                await writer.drain()
        writer.close()


class _Connection(set):
    __hash__ = object.__hash__

    def __init__(self, task):
        super().__init__()
        self.task = task
