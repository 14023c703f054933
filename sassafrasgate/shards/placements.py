"""Placement of jobs on hosts, with its explanations."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.identifiers import make_task_id
from sassafrasgate.core.identifiers import split_task_id
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.jobs import Placement
from sassafrasgate.journal.records import JobPlaced
from sassafrasgate.placement.policies import Assignment
from sassafrasgate.placement.policies import choose_hosts
from sassafrasgate.placement.policies import PlacementRequest
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.handlers import write_record
from sassafrasgate.shards.state import MAX_EXPLANATION_LINES

if TYPE_CHECKING:
    from collections.abc import Generator

    from sassafrasgate.core.cells import Rule
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import JobEntry
    from sassafrasgate.shards.state import ShardState


def choose_hosts_for_job(
    state: ShardState,
    spec: JobSpec,
    tasks: int,
    excluded: frozenset[str] = frozenset(),
    occupied: tuple[str, ...] = (),
) -> Assignment | Refusal:
    """Return hosts for some tasks of a job, or a refusal.

    Parameters
    ----------
    tasks : int
        Number of tasks to place.
    excluded : frozenset of str
        Hosts to avoid while others are available.
    occupied : tuple of str
        Hosts that already hold tasks of the job.
    """
    demand = state.demand_estimator.estimate_demand(spec)
    refusal = state.quotas.check_quota(spec.team, demand.scale(tasks))
    if refusal is not None:
        return refusal
    labels, domains = find_rule_constraints(state, spec)
    request = PlacementRequest(
        spec,
        local_domain=state.failure_domain,
        excluded=excluded,
        labels=labels,
        failure_domains=domains,
        demand=demand,
        tasks=tasks,
        occupied=occupied,
    )
    chosen = choose_hosts(state.index, request)
    if not isinstance(chosen, Refusal) or not excluded:
        return chosen
    # A host on which the job failed before is better than none.
    return choose_hosts(state.index, replace(request, excluded=frozenset()))


def find_rule_constraints(
    state: ShardState, spec: JobSpec
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the labels and failure domains that rules require of a job."""
    labels: tuple[str, ...] = ()
    domains: tuple[str, ...] = ()
    for rule in state.configuration.rules:
        if not matches_rule(rule, spec):
            continue
        labels += rule.labels
        if rule.failure_domains:
            domains = _narrow_domains(domains, rule.failure_domains)
    return labels, domains


def matches_rule(rule: Rule, spec: JobSpec) -> bool:
    """Return whether a rule matches a job."""
    return rule.team in ('', spec.team) and rule.job_class in (
        '',
        spec.job_class,
    )


def _narrow_domains(
    domains: tuple[str, ...], allowed: tuple[str, ...]
) -> tuple[str, ...]:
    if not domains:
        return allowed
    return tuple(name for name in domains if name in allowed) or ('',)


def make_placements(
    state: ShardState,
    job_id: str,
    attempt: int,
    spec: JobSpec,
    assignment: Assignment,
    current: tuple[Placement, ...] = (),
) -> tuple[Placement, ...]:
    """Return the placements of an assignment.

    Task indexes that no current placement uses are assigned in ascending
    order.
    """
    demand = state.demand_estimator.estimate_demand(spec)
    used = {split_task_id(placement.task)[1] for placement in current}
    free = (index for index in range(spec.tasks) if index not in used)
    return tuple(
        Placement(
            make_task_id(job_id, index, attempt),
            host,
            demand,
            state.hosts[host].incarnation,
        )
        for index, host in zip(free, assignment.hosts, strict=False)
    )


def place_job(
    state: ShardState, entry: JobEntry
) -> Generator[Any, None, Refusal | None]:
    """Place a queued job's unplaced tasks; return a refusal or None."""
    tasks = count_tasks_to_place(entry)
    chosen = choose_hosts_for_job(
        state,
        entry.spec,
        tasks,
        frozenset(entry.failed_hosts),
        tuple(placement.host for placement in entry.placements),
    )
    if isinstance(chosen, Refusal):
        if entry.reason != chosen.reason:
            state.update_job(entry.job_id, reason=chosen.reason)
            yield from log_decision(
                state,
                LogDecision(
                    'queue', entry.job_id, entry.attempt, reason=chosen.reason
                ),
            )
        return chosen
    attempt = entry.attempt + 1
    placements = make_placements(
        state,
        entry.job_id,
        attempt,
        entry.spec,
        chosen,
        entry.placements,
    )
    yield from write_record(
        state, JobPlaced(entry.job_id, attempt, placements)
    )
    yield from log_placement(state, entry.job_id, attempt, chosen)
    return None


def count_tasks_to_place(entry: JobEntry) -> int:
    """Return how many tasks one decision must place together.

    A gang needs all its tasks at once, while the tasks of a service are
    placed one at a time.
    """
    if entry.spec.job_class is JobClass.SERVICE:
        return 1
    return entry.unplaced_tasks


def log_placement(
    state: ShardState, job_id: str, attempt: int, chosen: Assignment
) -> Actions:
    """Log a placement and keep it for `explain` requests."""
    yield from log_decision(
        state,
        LogDecision(
            'place',
            job_id,
            attempt,
            host=','.join(chosen.hosts),
            reason=f'score={chosen.score:.3f}',
            candidates=chosen.candidates,
        ),
    )


def log_decision(state: ShardState, decision: LogDecision) -> Actions:
    """Log a decision and keep it among the newest ones of its job."""
    line = ' '.join(
        part
        for part in (
            decision.kind,
            f'attempt {decision.attempt}' if decision.attempt else '',
            f'host {decision.host}' if decision.host else '',
            decision.reason,
        )
        if part
    )
    if decision.job in state.jobs:
        lines = (*state.explanations.get(decision.job, ()), line)
        state.explanations[decision.job] = lines[-MAX_EXPLANATION_LINES:]
    yield decision


def fits_nowhere(refusal: Refusal) -> bool:
    """Return whether a job fits on no host even when the hosts are empty."""
    return refusal.kind is RefusalKind.FITS_NOWHERE
