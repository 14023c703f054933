"""Process with the server end of links, for peers that break the protocol.

It acknowledges each request. A `RelayCall` gets a reply of as many bytes as
its first argument says, and is logged with its number. Each
`ConfigurationReply` keeps it busy for a while.
"""

from __future__ import annotations

from itertools import count
import sys

import anyio

from sassafrasgate.protocol.links import IncomingRequest
from sassafrasgate.protocol.links import LinkServer
from sassafrasgate.protocol.links import OutgoingReply
from sassafrasgate.protocol.messages import Acknowledged
from sassafrasgate.protocol.messages import ConfigurationReply
from sassafrasgate.protocol.messages import Heartbeat
from sassafrasgate.protocol.relays import RelayCall
from sassafrasgate.protocol.relays import RelayReply

BUSY_S = 0.02


async def serve_links(address: str) -> None:
    """Serve links on an address until the process ends."""
    numbers = count(1)

    async def handle(request: IncomingRequest) -> None:
        reply = Acknowledged()
        if isinstance(request.message, ConfigurationReply):
            await anyio.sleep(BUSY_S)
        if isinstance(request.message, RelayCall):
            print(f'relay call {next(numbers)}', flush=True)
            reply = RelayReply(result=bytes(request.message.arguments[0]))
        await server.reply(
            OutgoingReply(request.client, request.request_id, reply)
        )

    server = LinkServer(
        address,
        handle,
        lambda: Heartbeat('server'),
        lambda heartbeat: None,
        lambda error: print(repr(error), flush=True),
    )
    print('serving', flush=True)
    await server.run()


if __name__ == '__main__':
    anyio.run(serve_links, sys.argv[1])
