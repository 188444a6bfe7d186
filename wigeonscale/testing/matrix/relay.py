"""TCP relays between nodes, through which link faults are made."""

__all__ = ["ANY_SOURCE", "CALLERS", "Direction", "Network", "Relay"]

import asyncio
import contextlib
from enum import Flag, auto

CHUNK_BYTES = 64 * 1024
MIN_DELIVERY_GAP_S = 1e-6
ANY_SOURCE = "*"
CALLERS = "callers"


class Direction(Flag):
    """Ways of a connection, seen from the one who opened it."""

    UP = auto()
    DOWN = auto()
    BOTH = UP | DOWN


class _Conn:
    """One relayed connection.

    Attributes:
        gates: Per direction, set while data may pass.
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
    """Passes connections on to one address, and can cut, stall or delay them.

    Data held back is delivered after :meth:`heal`, as a network does that comes
    back before the connections are given up.

    Args:
        target: ``ip:port`` that the connections are for.

    Attributes:
        accepted: Connections taken so far.
    """

    def __init__(self, *, target: str):
        self.target = target
        self.delay_s = 0.0
        self.refusing = False
        self.accepted = 0
        self._blocked_new = Direction(0)
        self._conns: set[_Conn] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """``ip:port`` to connect to."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    def block(self, directions: Direction, *, new: bool) -> None:
        """Hold data back.

        Args:
            ways: Directions held back on the connections that stand.
            new: Whether this holds for new connections too.
        """
        for conn in self._conns:
            conn.block(directions)
        self._blocked_new = directions if new else Direction(0)

    def stall_existing(self) -> None:
        """Hold back both directions of what stands; new connections work."""
        self.block(Direction.BOTH, new=False)

    def heal(self) -> None:
        """Pass everything on again, what was held back first."""
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
        # A task of its own: the server's would be reported as left over.
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
                # Grows strictly, so that nothing overtakes what was delayed before.
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
    """All relays, by the nodes at their two ends.

    ``*`` as source stands for whoever uses the address that a node announces, and
    ``callers`` for the callers of an entry, whom only its end cuts off.
    """

    def __init__(self):
        self._relays: dict[tuple[str, str], Relay] = {}
        self._faulty_nodes: set[str] = set()

    async def add(self, source: str, target: str, address: str) -> str:
        """Make a relay and return its address.

        Args:
            source: Node that will connect, or ``*``.
            target: Node that listens.
            address: ``ip:port`` on which the target listens.
        """
        relay = Relay(target=address)
        await relay.start()
        self._relays[source, target] = relay
        return relay.address

    def between(self, one: str, other: str) -> Relay:
        """Return the relay by which one node reaches the other."""
        return self._relays[one, other]

    def inbound_relays(self, node: str, *, callers: bool = False) -> list[Relay]:
        """Return the relays whose connections end at a node.

        Args:
            node: The node.
            callers: Whether those of callers are among them.
        """
        return [
            relay
            for (source, target), relay in self._relays.items()
            if target == node and (callers or source != CALLERS)
        ]

    def outbound_relays(self, node: str) -> list[Relay]:
        """Return the relays whose connections begin at a node."""
        return [r for (source, _), r in self._relays.items() if source == node]

    def isolate(self, node: str) -> None:
        """Hold back everything from and to a node."""
        self._faulty_nodes.add(node)
        for relay in self.inbound_relays(node) + self.outbound_relays(node):
            relay.block(Direction.BOTH, new=True)

    def block_outgoing(self, node: str) -> None:
        """Hold back what a node says, while it still hears the others."""
        self._faulty_nodes.add(node)
        for relay in self.inbound_relays(node):
            relay.block(Direction.DOWN, new=True)
        for relay in self.outbound_relays(node):
            relay.block(Direction.UP, new=True)

    def stall(self, node: str, *, inbound: bool) -> None:
        """Make the standing connections of a node silent; new ones work.

        Args:
            node: The node.
            inbound: Whether what is sent to the node is lost, or what it sends.
        """
        self._faulty_nodes.add(node)
        up, down = Direction.UP, Direction.DOWN
        for relay in self.inbound_relays(node):
            relay.block(up if inbound else down, new=False)
        for relay in self.outbound_relays(node):
            relay.block(down if inbound else up, new=False)

    def slow(self, node: str, delay_s: float) -> None:
        """Delay everything from and to a node."""
        self._faulty_nodes.add(node)
        for relay in self.inbound_relays(node) + self.outbound_relays(node):
            relay.delay_s = delay_s

    def kill(self, node: str) -> None:
        """Reset every connection of a node and let no new one pass."""
        self._faulty_nodes.add(node)
        for relay in self.inbound_relays(node, callers=True) + self.outbound_relays(
            node
        ):
            relay.refusing = True
            relay.abort()

    def heal(self, node: str) -> None:
        """Pass on everything from and to a node, but for nodes still faulty."""
        self._faulty_nodes.discard(node)
        for ends, relay in self._relays.items():
            if node in ends and not self._faulty_nodes.intersection(ends):
                relay.heal()

    async def close(self) -> None:
        """Close every relay."""
        for relay in self._relays.values():
            await relay.close()
