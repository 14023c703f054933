"""Responses with the output of a job, verified by size and digest."""

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

OCTET_STREAM = 'application/octet-stream'


class OutputDamagedError(SassafrasgateError):
    """An output does not match the size or digest reported by its worker."""

    def __init__(self, job_id: str, size: int, outcome: Outcome) -> None:
        super().__init__(
            f'output of job {job_id!r} has {size} bytes and does not match '
            f'its size {outcome.size} and digest {outcome.digest!r}; read '
            'it again, and check the store if this repeats'
        )


async def build_output_response(
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
    if not _matches_outcome(outcome, len(output), xxh3_128_hexdigest(output)):
        error = OutputDamagedError(view.job_id, len(output), outcome)
        return _describe_damaged_output(error, view.job_id)
    return Response(output, 200, headers, OCTET_STREAM)


async def _stream_output(
    context: Context, job_id: str, outcome: Outcome, headers: dict[str, str]
) -> Response | Problem:
    chunks = context.gateway.read_output(job_id, outcome)
    verified = verify_chunks(job_id, outcome, chunks)
    # The first chunk is read before the status line is sent, so that an
    # output that cannot be read at all gets an error status.
    try:
        first = await anext(verified)
    except OutputDamagedError as error:
        return _describe_damaged_output(error, job_id)
    except SassafrasgateError as error:
        return Problem(
            'output-unavailable',
            str(error),
            'request the output again later',
            job_id,
        )
    headers['Content-Length'] = str(outcome.size)
    body = _prepend_chunk(first, verified)
    return StreamingResponse(body, 200, headers, OCTET_STREAM)


async def verify_chunks(
    job_id: str, outcome: Outcome, chunks: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield the chunks of an output, the last one only if all are valid.

    The last chunk is withheld until size and digest have been verified, so
    that a response of the declared length is complete only if it is valid.

    Raises
    ------
    OutputDamagedError
        If size or digest differ from the outcome.
    """
    digest = xxh3_128()
    size = 0
    withheld = b''
    async for chunk in chunks:
        size += len(chunk)
        if size > outcome.size:
            raise OutputDamagedError(job_id, size, outcome)
        digest.update(chunk)
        if withheld and chunk:
            yield withheld
        withheld = chunk or withheld
    if not _matches_outcome(outcome, size, digest.hexdigest()):
        raise OutputDamagedError(job_id, size, outcome)
    yield withheld


async def _prepend_chunk(
    first: bytes, rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    yield first
    async for chunk in rest:
        yield chunk


def _matches_outcome(outcome: Outcome, size: int, digest: str) -> bool:
    return size == outcome.size and digest == (outcome.digest or digest)


def _describe_damaged_output(
    error: OutputDamagedError, job_id: str
) -> Problem:
    return Problem(
        'output-damaged', str(error), 'request the output again', job_id
    )
