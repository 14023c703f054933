"""The task that publishes the state of store clients, views and links."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.observability.metrics import DROPPED_REPLIES
from sassafrasgate.observability.metrics import INVALID_INPUTS
from sassafrasgate.observability.metrics import LINK_BYTES
from sassafrasgate.observability.metrics import LINK_MESSAGES
from sassafrasgate.observability.metrics import STORE_CALLS
from sassafrasgate.observability.metrics import STORE_VIEW_AGE
from sassafrasgate.observability.metrics import UNSENT_MESSAGES

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sassafrasgate.core.stores import KeyStore
    from sassafrasgate.daemons.freshness import ViewFreshness
    from sassafrasgate.observability.metrics import Metrics
    from sassafrasgate.protocol.links import LinkCounts

UPDATE_INTERVAL_S = 2.0


class CounterTask:
    """Updates metrics every few seconds.

    Parameters
    ----------
    stores : tuple of KeyStore
        Store clients whose calls are counted.
    list_views : callable
        Returns the freshness of each view whose age is published.
    list_links : callable
        Returns the counts of all links of the process.
    metrics : Metrics
        Receives the counts.
    """

    def __init__(
        self,
        stores: tuple[KeyStore, ...],
        list_views: Callable[[], Iterable[ViewFreshness]],
        list_links: Callable[[], Iterable[LinkCounts]],
        metrics: Metrics,
    ) -> None:
        self._stores = stores
        self._list_views = list_views
        self._list_links = list_links
        self._metrics = metrics
        self._published: Counter[tuple[str, str]] = Counter()

    async def run(self) -> None:
        """Publish counts and ages at a fixed interval until cancelled."""
        while True:
            await anyio.sleep(UPDATE_INTERVAL_S)
            self._publish(self._count())
            for view in self._list_views():
                self._metrics.set_gauge(
                    STORE_VIEW_AGE, view.age_ms / 1000, view.prefix
                )

    def _count(self) -> Counter[tuple[str, str]]:
        totals: Counter[tuple[str, str]] = Counter()
        for store in self._stores:
            for name, calls in store.calls.items():
                totals['store', name] += calls
        for counts in self._list_links():
            totals['messages', 'sent'] += counts.sent_messages
            totals['messages', 'received'] += counts.received_messages
            totals['bytes', 'sent'] += counts.sent_bytes
            totals['bytes', 'received'] += counts.received_bytes
            totals['dropped', ''] += counts.dropped_answers
            totals['invalid', ''] += counts.bad_frames
            totals['unsent', 'too-large'] += counts.too_large
            totals['unsent', 'queue-full'] += counts.queue_full
        return totals

    def _publish(self, totals: Counter[tuple[str, str]]) -> None:
        for (group, name), total in totals.items():
            new = total - self._published[group, name]
            if new <= 0:
                continue
            self._published[group, name] = total
            if group == 'store':
                self._metrics.count(STORE_CALLS, name, 'made', amount=new)
            if group == 'messages':
                self._metrics.count(LINK_MESSAGES, name, 'any', amount=new)
            if group == 'bytes':
                self._metrics.count(LINK_BYTES, name, amount=new)
            if group == 'unsent':
                self._metrics.count(UNSENT_MESSAGES, name, amount=new)
            if group == 'dropped':
                self._metrics.count(DROPPED_REPLIES, amount=new)
            if group == 'invalid':
                self._metrics.count(INVALID_INPUTS, 'links', amount=new)
