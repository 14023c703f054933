"""Decoder of the jobs that callers submit."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta
from msgspec import Struct
from msgspec.json import Decoder

from sassafrasgate.core.caller_limits import MAX_BODY_BYTES
from sassafrasgate.core.errors import InputError
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.inputs import Amount
from sassafrasgate.core.inputs import decode_input
from sassafrasgate.core.inputs import Integer
from sassafrasgate.core.inputs import Natural
from sassafrasgate.core.inputs import ShortText
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workflows import Step
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.observability.clocks import wall_ms

MAX_PAYLOAD_LENGTH = 65_536
MAX_STEPS = 256
MAX_TASKS = 100_000
# Tasks of a repeated job that may become due per second.
MAX_TASKS_PER_S = 10_000


class _Step(Struct, frozen=True, rename='camel'):
    count: Integer
    cpu: Natural = 0
    mem_mb: Natural = 0
    gpu: Natural = 0
    estimate_ms: Amount = 0
    after: tuple[Integer, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # Label that the worker must have.
    requires: ShortText = ''
    # Rack that holds the data.
    affinity: ShortText = ''
    # Maximum number of the step's tasks on one worker.
    anti_affinity: Natural = 0
    speculative: bool = False
    long_running: bool = False
    image: ShortText = ''
    target_ms: Amount = 0
    fills: bool = False
    may_miss: Natural = 0


class _Job(Struct, frozen=True, rename='camel'):
    # Passed unchanged to the workers with each task.
    spec: Annotated[str, Meta(max_length=MAX_PAYLOAD_LENGTH)]
    steps: list[_Step]
    repeats: Natural = 0
    start_at_ms: Natural = 0
    interval_ms: Natural = 0


_DECODER = Decoder(_Job)


def read_workflow(body: bytes) -> Workflow | Refusal:
    """Return the workflow in a request's body, or why it is invalid."""
    if len(body) > MAX_BODY_BYTES:
        return _make_invalid_refusal(
            f'the body has {len(body)} bytes, which is too large'
        )
    try:
        job = decode_input(_DECODER.decode, body)
    except InputError as error:
        return _make_invalid_refusal(str(error))
    if not 0 < len(job.steps) <= MAX_STEPS:
        return _make_invalid_refusal(
            f'the job has {len(job.steps)!r} steps, which is out of range'
        )
    for number, step in enumerate(job.steps):
        if step.count < 1:
            return _make_invalid_refusal(
                f'step {number} has {step.count!r} tasks; it needs at least 1'
            )
        if any(not 0 <= earlier < number for earlier in step.after):
            return _make_invalid_refusal(
                f'step {number} comes after {step.after!r}, which are not '
                'all earlier steps'
            )
    tasks = sum(step.count for step in job.steps)
    if max(tasks, _count_due_tasks(job, tasks)) > MAX_TASKS:
        return _make_invalid_refusal(
            f'the job has more than {MAX_TASKS} tasks that are due'
        )
    if _compute_tasks_per_s(job, tasks) > MAX_TASKS_PER_S:
        return _make_invalid_refusal(
            f'more than {MAX_TASKS_PER_S} tasks of the job become due in a '
            'second'
        )
    return Workflow(
        job.spec,
        tuple(_make_step(step) for step in job.steps),
        max(1, job.repeats),
        job.start_at_ms,
        job.interval_ms,
    )


def _count_due_tasks(job: _Job, tasks: int) -> int:
    """Return how many tasks of a repeated job are due when it is accepted."""
    late_ms = wall_ms() - job.start_at_ms
    if job.repeats <= 1 or late_ms < 0:
        return 0
    due = job.repeats
    if job.interval_ms:
        due = min(due, late_ms // job.interval_ms + 1)
    return due * tasks


def _compute_tasks_per_s(job: _Job, tasks: int) -> float:
    """Return at which rate tasks become due after the job's start.

    All tasks of a short series may become due at once.
    """
    if job.repeats * tasks <= MAX_TASKS:
        return 0.0
    return tasks * 1000 / max(job.interval_ms, 1)


def _make_step(step: _Step) -> Step:
    return Step(
        step.count,
        Resources(step.cpu, step.mem_mb, step.gpu),
        int(step.estimate_ms),
        step.after,
        step.checkpointing,
        step.gang,
        step.same_rack,
        step.requires,
        step.affinity,
        step.anti_affinity,
        step.speculative,
        step.long_running,
        step.image,
        int(step.target_ms),
        step.fills,
        step.may_miss,
    )


def _make_invalid_refusal(reason: str) -> Refusal:
    return Refusal(
        RefusalKind.INVALID, reason, 'correct the body of the request'
    )
