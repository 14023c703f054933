"""Responses with the output of a job, checked against its digest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.responses import Response
from starlette.responses import StreamingResponse
from xxhash import xxh3_128
from xxhash import xxh3_128_hexdigest

from sassafrasgate.core.errors import SassafrasgateError
from sassafrasgate.http.problems import Problem

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafrasgate.core.jobs import Outcome
    from sassafrasgate.http.routes import Context
    from sassafrasgate.protocol.messages import JobView

OCTETS = 'application/octet-stream'


class OutputDamagedError(SassafrasgateError):
    """An output differs from what its worker reported."""

    def __init__(self, job_id: str, size: int, outcome: Outcome) -> None:
        super().__init__(
            f'output of job {job_id!r} has {size} bytes and does not match '
            f'its size {outcome.size} and digest {outcome.digest!r}; read '
            'it again, and check the store if this repeats'
        )


async def build_output(
    context: Context, view: JobView, outcome: Outcome
) -> Response | Problem:
    """Return the response with the whole output of a finished job."""
    headers = {
        'Cache-Control': 'no-store',
        'X-Job-Id': view.job_id,
        'X-Attempt': str(view.attempt),
        'X-Host': ','.join(view.hosts),
    }
    if outcome.digest:
        headers['X-Output-Digest'] = f'xxh3-128={outcome.digest}'
    if outcome.chunks:
        return await _stream_output(context, view.job_id, outcome, headers)
    output = outcome.output
    if not _is_whole(outcome, len(output), xxh3_128_hexdigest(output)):
        error = OutputDamagedError(view.job_id, len(output), outcome)
        return _describe_damage(error, view.job_id)
    return Response(output, 200, headers, OCTETS)


async def _stream_output(
    context: Context, job_id: str, outcome: Outcome, headers: dict[str, str]
) -> Response | Problem:
    chunks = context.gateway.read_output(job_id, outcome)
    checked = check_chunks(job_id, outcome, chunks)
    # The first chunk is read before the status line is sent, so that an
    # output that can't be read at all still gets a proper error.
    try:
        first = await anext(checked)
    except OutputDamagedError as error:
        return _describe_damage(error, job_id)
    except SassafrasgateError as error:
        return Problem(
            'output-unavailable',
            str(error),
            'ask for the output again later',
            job_id,
        )
    headers['Content-Length'] = str(outcome.size)
    body = _join_chunks(first, checked)
    return StreamingResponse(body, 200, headers, OCTETS)


async def check_chunks(
    job_id: str, outcome: Outcome, chunks: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield the chunks of an output, the last one only when all is right.

    With the last chunk held back, a response with the declared length can
    be complete only after size and digest have been checked.

    Raises
    ------
    OutputDamagedError
        When size or digest differ from the outcome.
    """
    digest = xxh3_128()
    size = 0
    held = b''
    async for chunk in chunks:
        size += len(chunk)
        if size > outcome.size:
            raise OutputDamagedError(job_id, size, outcome)
        digest.update(chunk)
        if held and chunk:
            yield held
        held = chunk or held
    if not _is_whole(outcome, size, digest.hexdigest()):
        raise OutputDamagedError(job_id, size, outcome)
    yield held


async def _join_chunks(
    first: bytes, rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    yield first
    async for chunk in rest:
        yield chunk


def _is_whole(outcome: Outcome, size: int, digest: str) -> bool:
    return size == outcome.size and digest == (outcome.digest or digest)


def _describe_damage(error: OutputDamagedError, job_id: str) -> Problem:
    return Problem(
        'output-damaged', str(error), 'ask for the output again', job_id
    )
