"""Transport between replicas of one process, with simulated network faults."""

import asyncio

from wigeonscale.errors import WigeonscaleError


class MemoryNetwork:
    """Network between replicas in which each direction of a link can be cut."""

    def __init__(self):
        self.replicas = {}
        self.cut = set()  # (sender, receiver) pairs whose messages are lost
        self.duplicate = False
        self.appends = []  # (sender, receiver, request)
        self.before_append = None  # coroutine function(sender, receiver, request)
        self.before_vote = None
        self.before_campaign = None

    def transport(self, sender):
        return MemoryTransport(network=self, sender=sender)

    def isolate(self, node, *, both=True):
        for other in self.replicas:
            self.cut.add((node, other))
            if both:
                self.cut.add((other, node))

    def heal(self):
        self.cut.clear()

    async def deliver(self, sender, receiver, method, req):
        if (sender, receiver) in self.cut:
            await asyncio.get_running_loop().create_future()
        replica = self.replicas.get(receiver)
        if replica is None:
            raise ConnectionError(f"{receiver} is down")
        req = type(req).FromString(req.SerializeToString())
        if self.duplicate:
            await getattr(replica, method)(req)
        try:
            reply = await getattr(replica, method)(req)
        except WigeonscaleError as exc:  # as in the gRPC transport
            raise ConnectionError(exc.message) from exc
        if (receiver, sender) in self.cut or self.replicas.get(receiver) is not replica:
            await asyncio.get_running_loop().create_future()
        return reply


class MemoryTransport:
    def __init__(self, *, network, sender):
        self._network = network
        self._sender = sender

    def connect(self, address):
        return MemoryPeerClient(
            network=self._network, sender=self._sender, peer=address
        )


class MemoryPeerClient:
    def __init__(self, *, network, sender, peer):
        self._network = network
        self._sender = sender
        self._peer = peer

    async def append(self, req):
        network = self._network
        network.appends.append((self._sender, self._peer, req))
        if network.before_append is not None:
            await network.before_append(self._sender, self._peer, req)
        return await network.deliver(self._sender, self._peer, "handle_append", req)

    async def vote(self, req):
        if self._network.before_vote is not None:
            await self._network.before_vote(self._sender, self._peer, req)
        return await self._network.deliver(self._sender, self._peer, "handle_vote", req)

    async def campaign(self, req):
        network = self._network
        if network.before_campaign is not None:
            await network.before_campaign(self._sender, self._peer, req)
        return await network.deliver(self._sender, self._peer, "handle_campaign", req)

    async def reset(self):
        pass
