"""Client of the advice service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import DecodeError
from msgspec import Struct
from msgspec.json import Decoder
from msgspec.json import encode

from sassafrasgate.adapters.connections import HttpConnections
from sassafrasgate.adapters.connections import NoResponseError
from sassafrasgate.core.errors import AdviceUnavailableError
from sassafrasgate.core.workflows import Advice

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

CONNECTIONS = 8
HEADERS = {'Content-Type': 'application/json'}
OK = 200


class _Good(Struct, frozen=True, rename='camel'):
    # Rows of worker and ticket.
    good: list[tuple[str, str]]
    valid_ms: float


_DECODER = Decoder(_Good)


class AdviceClient:
    """Calls to the advice service; each is made once.

    Parameters
    ----------
    address : str
        IP number and port.
    """

    def __init__(self, address: str) -> None:
        self._connections = HttpConnections(f'http://{address}', CONNECTIONS)

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
        """Ask which workers may run a step.

        Raises
        ------
        AdviceUnavailableError
            When there was no answer, or none that can be used.
        """
        try:
            answer = await self._connections.call(
                'POST',
                '/api/advise',
                timeout_s,
                content=encode({'step': step, 'workers': workers}),
                headers=HEADERS,
            )
        except NoResponseError as error:
            raise AdviceUnavailableError(
                f'the advice service did not answer: {error}; ask again'
            ) from error
        if answer.status != OK:
            raise AdviceUnavailableError(
                f'the advice service answered with {answer.status!r} '
                f'{answer.text[:200]!r}; ask again later'
            )
        try:
            found = _DECODER.decode(answer.content)
        except DecodeError as error:
            raise AdviceUnavailableError(
                f'cannot decode an answer of the advice service: {error}'
            ) from error
        return Advice(tuple(found.good), int(found.valid_ms))
