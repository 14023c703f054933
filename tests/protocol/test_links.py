"""Tests that the server end of links tolerates malformed frames."""

import anyio
import pytest
import zmq.asyncio

from sassafrasgate.protocol.codec import encode_envelope
from sassafrasgate.protocol.codec import Envelope
from sassafrasgate.protocol.links import LinkServer
from sassafrasgate.protocol.links import OutgoingReply
from sassafrasgate.protocol.messages import Acknowledged
from sassafrasgate.protocol.messages import Heartbeat
from sassafrasgate.protocol.messages import Status
from tests.processes import find_free_address

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def test_server_continues_after_malformed_frames():
    # Guards against a message with an unexpected number of parts, which ended
    # the whole process.
    address = find_free_address()

    async def handle(request):
        await server.reply(
            OutgoingReply(request.client, request.request_id, Acknowledged())
        )

    server = LinkServer(
        address,
        handle,
        lambda: Heartbeat('server'),
        lambda heartbeat: None,
        lambda error: None,
    )
    context = zmq.asyncio.Context()
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        with context.socket(zmq.DEALER) as socket:
            socket.set(zmq.LINGER, 0)
            socket.connect(f'tcp://{address}')
            await socket.send(b'not a frame')
            await socket.send_multipart([b'one', b'two', b'three'])
            good = Envelope(7, False, 1, 1000, Status())
            await socket.send(encode_envelope(good))
            with anyio.fail_after(20):
                while b'acknowledged' not in await socket.recv():
                    continue
        assert server.counts.bad_frames == 2
        group.cancel_scope.cancel()
    context.term()
