"""Tests of the reception of all that waits in a stream."""

import anyio
import pytest

from sassafrasgate.core.streams import MAX_BATCH_ITEMS
from sassafrasgate.core.streams import receive_batches

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def test_items_that_wait_come_in_one_batch_until_the_stream_is_closed():
    sender, receiver = anyio.create_memory_object_stream(1_000)
    for number in range(MAX_BATCH_ITEMS + 2):
        sender.send_nowait(number)
    sender.close()
    batches = [batch async for batch in receive_batches(receiver)]

    assert [len(batch) for batch in batches] == [MAX_BATCH_ITEMS, 2]
    assert batches[1][-1] == MAX_BATCH_ITEMS + 1
    receiver.close()
