"""Tasks of tenants that previous owners may have running unseen.

A worker that has not replied to this owner may run tasks that previous owners
have started, or go on starting. Until all workers have replied or their leases
have expired, each task that may run unseen counts against the cap of its
tenant. The sum is bounded by the capacity of the workers that have not
replied, so that a single silent worker doesn't stop a tenant.
"""

from __future__ import annotations

from sys import maxsize
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.dispatch.adoptions import compute_reservation
from sassafrasgate.dispatch.identities import make_task_id
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.task_ids import parse_task_id
from sassafrasgate.dispatch.tenant_accounts import PriorUsage

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafrasgate.dispatch.entries import JobEntry
    from sassafrasgate.dispatch.state import DispatchState

UNLIMITED = Resources(maxsize, maxsize, maxsize, maxsize, maxsize)


def add_prior_runs(state: DispatchState) -> None:
    """Add what previous owners may have started, at a takeover."""
    if not state.unreconciled_workers:
        return
    for job in state.jobs.values():
        if not job.tenant:
            continue
        if job.held != NO_RESOURCES:
            usage = PriorUsage(unreserved=job.held)
            state.prior_runs.add([job.job_id], job.tenant, usage)
        for key in _list_prior_steps(job):
            _add_step(state, key, job)


def _list_prior_steps(job: JobEntry) -> Iterator[StepKey]:
    """Yield the steps of a job of which previous owners may have run tasks.

    They may have started tasks of a step before the ends of its predecessors
    were durable, and, by a clock that is ahead, those of the next occurrence.
    """
    opened = job.occurrences
    if not job.has_ended:
        opened = min(opened + 1, job.workflow.occurrences)
    for occurrence in range(opened):
        for number in range(len(job.workflow.steps)):
            yield StepKey(job.job_id, occurrence, number)


def _add_step(state: DispatchState, key: StepKey, job: JobEntry) -> None:
    step = state.find_step(key)
    names = [make_task_id(key, index) for index in range(step.tasks)]
    names = _select_unseen(state, names, step.gang)
    if not names:
        return
    reserved = compute_reservation(step)
    usage = PriorUsage(reserved, step.demand - reserved)
    state.prior_runs.add(names, job.tenant, usage)


def _select_unseen(
    state: DispatchState, names: list[str], gang: bool
) -> list[str]:
    """Return the tasks of a step that may run.

    The end of one member finishes a gang; the others may run until their own
    ends are known.
    """
    if not gang:
        return [name for name in names if not state.find_task(name).finished]
    entries = {name: state.find_task(name) for name in names}
    last = max(
        (end.run for entry in entries.values() for end in entry.ended_runs),
        default=0,
    )
    return [
        name
        for name, entry in entries.items()
        if not entry.finished
        or all(end.run != last for end in entry.ended_runs)
    ]


def compute_unseen_usage(state: DispatchState) -> dict[str, Resources]:
    """Return what tenants may have running without an entry, at most.

    Tenants without such runs are left out.
    """
    unseen: dict[str, Resources] = {}
    if state.unreconciled_workers:
        capacity = _find_unseen_capacity(state)
        for tenant, usage in state.prior_runs.list_totals():
            charged = usage.unreserved + usage.reserved.take_minimum(capacity)
            if charged != NO_RESOURCES:
                unseen[tenant] = charged
    for job, charged in list_unknown_usage(state):
        before = unseen.get(job.tenant, NO_RESOURCES)
        unseen[job.tenant] = before + charged
    return unseen


def _find_unseen_capacity(state: DispatchState) -> Resources:
    """Return the capacity of the workers that have not replied.

    It is without limit if it is unknown for one of them, because only the
    journal names it.
    """
    total = NO_RESOURCES
    for worker in state.unreconciled_workers:
        entry = state.workers.get(worker)
        if entry is None or entry.registration.capacity == NO_RESOURCES:
            return UNLIMITED
        total = total + entry.registration.capacity
    return total


def list_unknown_usage(
    state: DispatchState,
) -> Iterator[tuple[JobEntry, Resources]]:
    """Yield what runs of unknown tasks are charged for, with their jobs.

    They are being stopped. A run of a job that is unknown too belongs to no
    tenant: jobs are kept for longer than any lease after their end.
    """
    held: set[str] = set()
    for place in state.pending_stops:
        if place in state.runs:
            continue
        named = parse_task_id(place.key.task)
        job = state.jobs.get(named[0].job_id) if named else None
        if named is None or job is None or not job.tenant:
            continue
        if named[0].step < len(job.workflow.steps):
            yield job, job.workflow.steps[named[0].step].demand
        elif job.job_id not in state.prior_runs and job.job_id not in held:
            held.add(job.job_id)
            yield job, job.held


def compute_held(state: DispatchState) -> dict[str, Resources]:
    """Return what runs of ended jobs may still hold, by job, for a snapshot.

    Jobs of tenants only; those without such runs are left out.
    """
    held: dict[str, Resources] = {}

    def add(job_id: str, charged: Resources) -> None:
        if state.jobs[job_id].has_ended:
            held[job_id] = held.get(job_id, NO_RESOURCES) + charged

    for run in state.runs.values():
        if run.tenant:
            add(run.step.job_id, run.charged)
    for job, charged in list_unknown_usage(state):
        add(job.job_id, charged)
    for job_id, charged in state.prior_runs.list_by_job():
        if job_id in state.jobs:
            add(job_id, charged)
    return held
