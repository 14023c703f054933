"""Preemption of batch tasks for jobs that the rules allow to preempt.

Only idempotent batch tasks are preempted: they are checkpointed, stopped
and queued again. A preemption does not count as a failed attempt.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.core.jobs import JobClass
from sassafrasgate.shards.actions import LimitTask
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import StopTask
from sassafrasgate.shards.placements import find_rule_constraints
from sassafrasgate.shards.placements import matches_rule
from sassafrasgate.shards.state import TaskPhase

if TYPE_CHECKING:
    from sassafrasgate.core.hosts import Host
    from sassafrasgate.core.jobs import JobSpec
    from sassafrasgate.core.resources import Resources
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import JobEntry
    from sassafrasgate.shards.state import ShardState
    from sassafrasgate.shards.state import TaskEntry

# Stopping a task takes a round trip and a sync, so the same job does not
# preempt more tasks before then.
PREEMPTION_INTERVAL_MS = 3_000
MAX_VICTIMS = 8


def may_preempt(state: ShardState, spec: JobSpec) -> bool:
    """Return whether a rule allows a job to preempt batch tasks."""
    return spec.tasks == 1 and any(
        rule.may_preempt and matches_rule(rule, spec)
        for rule in state.configuration.rules
    )


def preempt_for_job(state: ShardState, entry: JobEntry, now: int) -> Actions:
    """Stop batch tasks on one host so that a job fits on it."""
    if state.preempt_again_at.get(entry.job_id, 0) > now:
        return
    victims = choose_victims(state, entry.spec)
    if not victims:
        return
    state.preempt_again_at[entry.job_id] = now + PREEMPTION_INTERVAL_MS
    for task in victims:
        state.tasks[task.task] = replace(task, stopping=True)
        yield LogDecision(
            'preempt',
            task.job_id,
            host=task.host,
            reason=f'for {entry.job_id}',
        )
        yield LimitTask(task.host, task.task, 'checkpoint')
        yield StopTask(task.host, task.task)


def choose_victims(state: ShardState, spec: JobSpec) -> tuple[TaskEntry, ...]:
    """Return the fewest batch tasks whose end lets a job fit on some host.

    On each host the tasks that started last are chosen first, since they
    lose the least work. Among hosts that need equally few, the first one is
    taken.
    """
    labels, domains = find_rule_constraints(state, spec)
    best: tuple[TaskEntry, ...] = ()
    for name in state.index.free_on_open_hosts:
        host = state.index.hosts[name]
        if not _is_eligible(host, spec, labels, domains):
            continue
        victims = _choose_on_host(state, name, spec.demand)
        if victims and (not best or len(victims) < len(best)):
            best = victims
    return best


def _is_eligible(
    host: Host,
    spec: JobSpec,
    labels: tuple[str, ...],
    domains: tuple[str, ...],
) -> bool:
    if domains and host.failure_domain not in domains:
        return False
    if spec.failure_domains and (
        host.failure_domain not in spec.failure_domains
    ):
        return False
    return set(labels) <= set(host.labels) and spec.demand.fits_in(
        host.capacity
    )


def _choose_on_host(
    state: ShardState, host: str, demand: Resources
) -> tuple[TaskEntry, ...]:
    free = state.index.find_free(host)
    candidates = [
        task
        for name in state.index.list_reservations(host)
        if (task := state.tasks.get(name)) is not None
        and _is_preemptible(state, task)
    ]
    candidates.sort(key=lambda task: task.started_clock, reverse=True)
    chosen: list[TaskEntry] = []
    for task in candidates[:MAX_VICTIMS]:
        if demand.fits_in(free):
            break
        chosen.append(task)
        free = free + state.index.list_reservations(host)[task.task]
    return tuple(chosen) if demand.fits_in(free) else ()


def _is_preemptible(state: ShardState, task: TaskEntry) -> bool:
    if task.phase is not TaskPhase.RUNNING or task.stopping:
        return False
    job = state.jobs.get(task.job_id)
    return (
        job is not None
        and job.spec.job_class is JobClass.BATCH
        and job.spec.idempotent
    )
