"""TCP relays between nodes, which inject network faults."""

__all__ = ["ANY_SOURCE", "CALLERS", "Direction", "Network", "Relay"]

import asyncio
import contextlib
import socket
from enum import Flag, auto

CHUNK_BYTES = 64 * 1024
MIN_DELIVERY_GAP_S = 1e-6
ANY_SOURCE = "*"
CALLERS = "callers"


class Direction(Flag):
    """Directions of a connection, as seen from the side that opened it."""

    UP = auto()
    DOWN = auto()
    BOTH = UP | DOWN


class _Conn:
    """One relayed connection.

    Attributes:
        gates: Per direction, an event that is set while data may pass.
    """

    def __init__(self, *, blocked: Direction):
        self.gates = {
            direction: asyncio.Event() for direction in (Direction.UP, Direction.DOWN)
        }
        self.writers: list[asyncio.StreamWriter] = []
        self.block(blocked)

    def block(self, blocked: Direction) -> None:
        for direction, gate in self.gates.items():
            if direction in blocked:
                gate.clear()
            else:
                gate.set()

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """Forwards connections to one address, and can reset, stall or delay them.

    Data of a blocked direction is delivered after :meth:`heal`, as on a network that
    recovers before its connections time out.

    Args:
        target: ``ip:port`` to which connections are forwarded.
        port: Port to listen on; 0 for any.

    Attributes:
        delay_s: Delay of data in each direction, in seconds.
        refusing: Whether new connections are closed at once.
        accepted: Connections accepted so far.
    """

    def __init__(self, *, target: str, port: int = 0):
        self.target = target
        self._port = port
        self.delay_s = 0.0
        self.refusing = False
        self.accepted = 0
        self._blocked_new = Direction(0)
        self._conns: set[_Conn] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self._sock: socket.socket | None = None
        self._is_paused = False

    @property
    def address(self) -> str:
        """``ip:port`` to connect to."""
        return f"127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Start listening, also after :meth:`stop_listening`."""
        self._sock = socket.create_server(("127.0.0.1", self._port))
        self._sock.setblocking(False)
        self._port = self._sock.getsockname()[1]
        self._server = await asyncio.start_server(self._accept, sock=self._sock)

    def stop_listening(self) -> None:
        """Refuse new connections, as the address of a process that has ended."""
        self._is_paused = False
        self._server.close()

    def pause_accepting(self) -> None:
        """Let attempts to connect time out, as with a full accept queue.

        A relay that does not listen goes on to refuse them.
        """
        if self._sock.fileno() < 0:
            return
        self._is_paused = True
        asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.listen(0)
        # Such a queue still has room for one connection.
        with socket.socket() as filler:
            filler.setblocking(False)
            filler.connect_ex(self._sock.getsockname())

    async def resume_accepting(self) -> None:
        """Accept connections after :meth:`pause_accepting`, unless it was stopped."""
        if self._is_paused:
            self._is_paused = False
            self._server = await asyncio.start_server(self._accept, sock=self._sock)

    def block(self, directions: Direction, *, new: bool) -> None:
        """Block directions of existing connections and pass all others.

        Args:
            directions: Directions to block.
            new: Whether new connections are blocked too; otherwise they pass.
        """
        for conn in self._conns:
            conn.block(directions)
        self._blocked_new = directions if new else Direction(0)

    def stall_existing(self) -> None:
        """Block existing connections in both directions; new connections pass."""
        self.block(Direction.BOTH, new=False)

    def heal(self) -> None:
        """Remove all faults and deliver blocked data."""
        self.delay_s = 0.0
        self.refusing = False
        self.block(Direction(0), new=True)

    def abort(self) -> None:
        """Reset every connection."""
        for conn in list(self._conns):
            conn.abort()

    async def close(self) -> None:
        """Stop listening and reset every connection."""
        self._server.close()
        self.abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        # Use a task that close() can cancel; the one that asyncio.start_server()
        # creates for a coroutine callback would be reported as left over by the test.
        task = asyncio.create_task(self._relay_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = _Conn(blocked=self._blocked_new)
        conn.writers.append(writer)
        self._conns.add(conn)
        try:
            if self.refusing:
                return
            host, _, port = self.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            conn.writers.append(target_writer)
            await self._pump_both(
                conn, (reader, target_writer), (target_reader, writer)
            )
        except OSError:
            return
        finally:
            conn.abort()
            self._conns.discard(conn)

    async def _pump_both(self, conn, up, down) -> None:
        pumps = [
            asyncio.create_task(self._pump(*up, conn.gates[Direction.UP])),
            asyncio.create_task(self._pump(*down, conn.gates[Direction.DOWN])),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)

    async def _pump(self, reader, writer, gate: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        deliver_at = 0.0
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await gate.wait()
                # Delivery times strictly increase, so that later data does not
                # overtake delayed data.
                deliver_at = max(
                    deliver_at + MIN_DELIVERY_GAP_S, loop.time() + self.delay_s
                )
                if deliver_at - loop.time() > MIN_DELIVERY_GAP_S:
                    loop.call_at(deliver_at, writer.write, data)
                    continue
                writer.write(data)
                await writer.drain()
            await asyncio.sleep(deliver_at - loop.time())


class Network:
    """All relays, by their source and target nodes.

    The source ``*`` stands for any node that uses an announced address, and
    ``callers`` for the callers of an entry. Faults other than a kill of the entry do
    not affect callers.
    """

    def __init__(self):
        self._relays: dict[tuple[str, str], Relay] = {}
        self._faulty_nodes: set[str] = set()

    async def add(self, source: str, target: str, address: str) -> str:
        """Start a relay and return its address.

        Args:
            source: Node that will connect, ``*`` or ``callers``.
            target: Node that listens.
            address: ``ip:port`` on which the target listens.
        """
        relay = Relay(target=address)
        await relay.start()
        self._relays[source, target] = relay
        return relay.address

    def between(self, source: str, target: str) -> Relay:
        """Return the relay from a source to a target."""
        return self._relays[source, target]

    def inbound_relays(self, node: str, *, callers: bool = False) -> list[Relay]:
        """Return the relays whose target is a node.

        Args:
            node: The node.
            callers: Whether to include relays of callers.
        """
        return [
            relay
            for (source, target), relay in self._relays.items()
            if target == node and (callers or source != CALLERS)
        ]

    def outbound_relays(self, node: str) -> list[Relay]:
        """Return the relays whose source is a node."""
        return [r for (source, _), r in self._relays.items() if source == node]

    def isolate(self, node: str) -> None:
        """Block all data from and to a node."""
        self._faulty_nodes.add(node)
        for relay in self.inbound_relays(node) + self.outbound_relays(node):
            relay.block(Direction.BOTH, new=True)

    def block_outgoing(self, node: str) -> None:
        """Block all data that a node sends; it still receives data."""
        self._faulty_nodes.add(node)
        for relay in self.inbound_relays(node):
            relay.block(Direction.DOWN, new=True)
        for relay in self.outbound_relays(node):
            relay.block(Direction.UP, new=True)

    def stall(self, node: str, *, inbound: bool) -> None:
        """Block one direction of the existing connections of a node.

        New connections pass.

        Args:
            node: The node.
            inbound: Whether to block data sent to the node; otherwise data it sends.
        """
        self._faulty_nodes.add(node)
        up, down = Direction.UP, Direction.DOWN
        for relay in self.inbound_relays(node):
            relay.block(up if inbound else down, new=False)
        for relay in self.outbound_relays(node):
            relay.block(down if inbound else up, new=False)

    def slow(self, node: str, delay_s: float) -> None:
        """Delay all data from and to a node."""
        self._faulty_nodes.add(node)
        for relay in self.inbound_relays(node) + self.outbound_relays(node):
            relay.delay_s = delay_s

    def kill(self, node: str) -> None:
        """Reset every connection of a node and refuse new ones."""
        self._faulty_nodes.add(node)
        for relay in self.inbound_relays(node, callers=True) + self.outbound_relays(
            node
        ):
            relay.refusing = True
            relay.abort()

    def heal(self, node: str) -> None:
        """Remove the faults of a node, except on relays to other faulty nodes."""
        self._faulty_nodes.discard(node)
        for ends, relay in self._relays.items():
            if node in ends and not self._faulty_nodes.intersection(ends):
                relay.heal()

    async def close(self) -> None:
        """Close every relay."""
        for relay in self._relays.values():
            await relay.close()
