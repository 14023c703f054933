"""Client of the advice service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct
from msgspec.json import Decoder
from msgspec.json import encode

from sassafrasgate.adapters.call_errors import NoResponseError
from sassafrasgate.adapters.connections import HttpConnections
from sassafrasgate.adapters.response_limits import MIB
from sassafrasgate.core.errors import AdviceUnavailableError
from sassafrasgate.core.errors import InputError
from sassafrasgate.core.inputs import Amount
from sassafrasgate.core.inputs import decode_input
from sassafrasgate.core.workflows import Advice

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

    from sassafrasgate.adapters.response_limits import ResponseBudget

MAX_CONNECTIONS = 8
HEADERS = {'Content-Type': 'application/json'}
OK = 200
# At most 100 workers with a ticket each.
MAX_ADVICE_BYTES = MIB


class _AdviceResponse(Struct, frozen=True, rename='camel'):
    # Pairs of a worker and its ticket.
    good: list[tuple[str, str]]
    valid_ms: Amount


_DECODER = Decoder(_AdviceResponse)


class AdviceClient:
    """Client of the advice service, which sends each call once.

    Parameters
    ----------
    address : str
        IP address and port.
    budget : ResponseBudget, optional
        Budget for responses that all clients of the process share.
    """

    def __init__(
        self, address: str, budget: ResponseBudget | None = None
    ) -> None:
        self._connections = HttpConnections(
            f'http://{address}', MAX_CONNECTIONS, budget=budget
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._connections.close()

    async def request_advice(
        self, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> Advice:
        """Return the workers that may run a step, with their tickets.

        Raises
        ------
        AdviceUnavailableError
            When no response was received, or it cannot be used.
        """
        try:
            response = await self._connections.call(
                'POST',
                '/api/advise',
                timeout_s,
                content=encode({'step': step, 'workers': workers}),
                headers=HEADERS,
                max_bytes=MAX_ADVICE_BYTES,
            )
        except NoResponseError as error:
            raise AdviceUnavailableError(
                f'the advice service did not respond: {error}; try again'
            ) from error
        if response.status != OK:
            raise AdviceUnavailableError(
                f'the advice service responded with {response.status!r} '
                f'{response.text[:200]!r}; try again later'
            )
        try:
            advice = decode_input(_DECODER.decode, response.content)
        except InputError as error:
            raise AdviceUnavailableError(
                f'cannot decode a response of the advice service: {error}'
            ) from error
        return Advice(tuple(advice.good), int(advice.valid_ms))
