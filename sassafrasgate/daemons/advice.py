"""The task that calls the advice service from this entry host."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import AdviceUnavailableError
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.protocol.workflows import AdviceGiven
from sassafrasgate.protocol.workflows import SeekAdvice

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectReceiveStream

    from sassafrasgate.observability.failures import FailureRecorder


@dataclass(frozen=True, slots=True)
class AdviceRequested:
    """A call to make to the advice service.

    Parameters
    ----------
    request : SeekAdvice
        The request of the dispatcher.
    reply : callable
        Receives the result: an `AdviceGiven` or a `Refusal`.
    """

    request: SeekAdvice
    reply: Callable[[AdviceGiven | Refusal], Awaitable[None]]


class AdviceTask:
    """Owns the client of the advice service.

    The service queues the calls of one host itself, so calls are sent as
    soon as they arrive.

    Parameters
    ----------
    client : object
        Client with the methods of
        `sassafrasgate.platform.advice.AdviceClient`.
    inbox : MemoryObjectReceiveStream
        Delivers `AdviceRequested`.
    failures : FailureRecorder
        Records unexpected errors.
    """

    def __init__(
        self,
        client: Any,
        inbox: MemoryObjectReceiveStream[Any],
        failures: FailureRecorder,
    ) -> None:
        self._client = client
        self._inbox = inbox
        self._failures = failures

    async def run(self) -> None:
        """Make calls until the inbox closes."""
        async with self._client, anyio.create_task_group() as tasks:
            async for requested in self._inbox:
                tasks.start_soon(self._try_call, requested)

    async def _try_call(self, requested: AdviceRequested) -> None:
        """Make one call; an unexpected error ends only this call."""
        try:
            await self._call_service(requested)
        except Exception as error:
            self._failures.record(
                'advice-call', error, (('step', requested.request.step),)
            )
            await requested.reply(
                Refusal(
                    RefusalKind.NOT_READY,
                    f'the call failed: {error!r}',
                    'ask from another host',
                )
            )

    async def _call_service(self, requested: AdviceRequested) -> None:
        request = requested.request
        try:
            advice = await self._client.request_advice(
                request.step, request.workers, request.timeout_ms / 1000
            )
        except AdviceUnavailableError as error:
            await requested.reply(
                Refusal(
                    RefusalKind.NOT_READY, str(error), 'ask from another host'
                )
            )
            return
        await requested.reply(
            AdviceGiven(request.step, advice.tickets, advice.valid_ms)
        )
