"""Tests that requests survive a connection that stops responding.

| test | guarantees of the design page |
| --- | --- |
| unresponsive connection | 3 |

The front end's side of the link, `sassafrasgate.protocol.links.Link`, runs in
the test. A relay can't be put in front of a scheduler, because a scheduler
announces the address to which it binds.
"""

import anyio

from sassafrasgate.core.errors import NoReply
from sassafrasgate.protocol.links import Link
from sassafrasgate.protocol.messages import Heartbeat
from sassafrasgate.protocol.messages import Status
from sassafrasgate.protocol.messages import StatusReply
from tests.relays import Relay

# Twice the time after which an unresponsive link is closed.
RECOVERY_S = 4.0


def test_unresponsive_connection_is_replaced(start_cell):
    # Guards against a link that waits on a dead connection forever.
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
        """Ignore the scheduler's heartbeats."""

    anyio.run(check)
