"""Guards requests against a connection that goes silent for good.

| test | promises of the design page |
| --- | --- |
| silent connection | 3 |

The front end's end of the link, `sassafrasgate.protocol.links.Link`, runs
in the test, since a scheduler announces the address that it binds and so
leaves no room for a relay before it.
"""

import anyio

from sassafrasgate.core.errors import NoReply
from sassafrasgate.protocol.links import Link
from sassafrasgate.protocol.messages import Heartbeat
from sassafrasgate.protocol.messages import Status
from sassafrasgate.protocol.messages import StatusReply
from tests.relays import Relay

# Twice the time after which a silent link is closed.
RECOVERY_S = 4.0


def test_silent_connection_is_replaced(start_cell):
    # Guards against a link that waits for a dead connection for ever.
    cell = start_cell(domains=1, schedulers=1, frontends=1)

    async def check():
        relay = Relay(cell.find_link('scheduler-0'))
        async with anyio.create_task_group() as group:
            group.start_soon(relay.run)
            await relay.ready.wait()
            link = Link(
                relay.address, lambda: Heartbeat('test', 0), handle_heartbeat
            )
            group.start_soon(link.run)
            first = await link.request(Status(), 10)
            assert isinstance(first, StatusReply), first
            relay.silence()
            with anyio.fail_after(RECOVERY_S):
                while isinstance(await link.request(Status(), 10), NoReply):
                    continue
            assert relay.connections == 2
            assert link.counts.reopened == 1
            group.cancel_scope.cancel()

    def handle_heartbeat(heartbeat):
        """Ignore what the scheduler holds."""

    anyio.run(check)
