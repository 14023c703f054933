"""Reception of all that waits in a stream at once."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.streams.memory import MemoryObjectReceiveStream

MAX_BATCH_ITEMS = 64


async def receive_batches(
    stream: MemoryObjectReceiveStream[Any], max_items: int = MAX_BATCH_ITEMS
) -> AsyncIterator[list[Any]]:
    """Yield the items of a stream in lists until the stream is closed.

    Iteration over the stream itself lets all other tasks of the process run
    before each item. A busy process makes few iterations of its event loop
    in a second, so that items would wait behind each other for seconds.

    Parameters
    ----------
    max_items : int
        Maximum number of items in a list. Other tasks run between two lists.
    """
    async for item in stream:
        items = [item]
        while len(items) < max_items:
            try:
                items.append(stream.receive_nowait())
            except (anyio.WouldBlock, anyio.EndOfStream):
                break
        yield items
