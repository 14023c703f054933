"""Checks that simulations fail if a safeguard of the dispatcher is removed.

The docstring of each function below states what the safeguard relies on.
"""

import pytest

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.dispatch import adoptions
from sassafrasgate.dispatch import gangs
from sassafrasgate.dispatch import recovery
from sassafrasgate.dispatch import registrations
from sassafrasgate.dispatch import reports
from sassafrasgate.dispatch import scheduling_passes
from sassafrasgate.dispatch import start_replies
from sassafrasgate.dispatch.actions import AcknowledgeEnds
from sassafrasgate.dispatch.actions import AllowStarts
from sassafrasgate.dispatch.evidence import Evidence
from sassafrasgate.dispatch.evidence import EvidenceKind
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.identities import RunPlace
from sassafrasgate.dispatch.prior_leases import LeaseBound
from sassafrasgate.dispatch.state import DispatchState
from tests.dispatch import simulation
from tests.dispatch.simulation import RuleViolation
from tests.dispatch.test_random_faults import check_outcome
from tests.dispatch.test_random_faults import FAULT_PERIOD_MS
from tests.dispatch.test_random_faults import LASTING_JOBS
from tests.dispatch.test_random_faults import PLACED_JOBS
from tests.dispatch.test_random_faults import simulate_faults
from tests.dispatch.test_random_faults import STOP_FAULTS

# Evidence of a run's end that proves nothing.
UNPROVED = Evidence(EvidenceKind.REPORT, 'no reply', 0)
SEEDS = range(150)
FAULTS = 12
GUARDS = {}
# Faults to choose from, for safeguards that few random runs need.
KINDS = {
    'fence_each_incarnation': ('restart_worker', 'lose_calls'),
    'keep_starts_over_restarts': ('restart_worker', 'lose_calls'),
    'repeat_stops_of_unknown_runs': STOP_FAULTS,
}
# Jobs for safeguards that most jobs don't need.
JOBS = {
    'match_labels': PLACED_JOBS,
    'repeat_stops_of_unknown_runs': {
        **LASTING_JOBS,
        'cancel_at': FAULT_PERIOD_MS,
    },
    'limit_tasks_per_worker': PLACED_JOBS,
}


def guard(remove):
    """Register a function that removes a safeguard."""
    GUARDS[remove.__name__] = remove
    return remove


@guard
def wait_for_unreconciled_workers(patch):
    """A new owner waits for runs that a previous owner may have started."""
    patch.setattr(
        recovery, 'compute_lease_bound', lambda *_: LeaseBound(0, '')
    )


@guard
def keep_uncertain_starts(patch):
    """A worker may still carry out a start call without a reply."""

    def forget(state, event):
        run = state.find_run(event.worker, event.run)
        if run is not None:
            yield from reports.lose_run(state, run, UNPROVED)

    patch.setitem(EVENT_HANDLERS._items, start_replies.RunUnanswered, forget)


@guard
def fence_each_incarnation(patch):
    """A restarted worker obeys calls from before its restart.

    Only the higher fencing token of its new incarnation prevents this.
    """
    patch.setattr(
        simulation, 'make_fencing_token', lambda epoch, restarts: epoch * 1000
    )


@guard
def keep_starts_over_restarts(patch):
    """A start call may reach the new incarnation of a restarted worker."""

    def drop(state, event):
        yield from reports.lose_worker_runs(state, event.worker, UNPROVED)

    patch.setattr(reports, '_process_restart', drop)


@guard
def reserve_capacity(patch):
    """The demand of a run is reserved until the run is certainly gone."""
    add_run = DispatchState.add_run

    def add(self, entry):
        free = dict(self.free_resources)
        add_run(self, entry)
        self.free_resources = free

    patch.setattr(DispatchState, 'add_run', add)


@guard
def wait_for_lease_expiry(patch):
    """Runs on a silent worker continue until their lease has expired."""

    def lose(state, event):
        entry = state.workers.get(event.worker)
        if entry is not None:
            yield from reports.lose_worker_runs(state, event.worker, UNPROVED)

    patch.setitem(EVENT_HANDLERS._items, reports.WorkerSilent, lose)


@guard
def check_starts_when_sent(patch):
    """A start is sent or repeated later than it was decided."""
    patch.setattr(
        registrations,
        'AllowStarts',
        lambda worker, _: AllowStarts(worker, True),
    )


@guard
def acknowledge_durable_ends(patch):
    """A worker may drop an ended run only once its record is durable."""
    process_ended = reports._process_ended

    def patched(state, event, ended):
        yield from process_ended(state, event, ended)
        yield AcknowledgeEnds(
            event.worker, event.report.incarnation_ms, ended.number
        )

    patch.setattr(reports, '_process_ended', patched)


@guard
def count_failures(patch):
    """The number of attempts of a task is limited."""
    apply_run_end = recovery.apply_run_end

    def patched(state, record, key, index):
        if record.how is not EndKind.FAILED:
            apply_run_end(state, record, key, index)

    patch.setattr(recovery, 'apply_run_end', patched)


@guard
def keep_gangs_whole(patch):
    """A gang starts again only once all its members are gone."""
    place = gangs.place_gang

    def place_again(state, plan, key, step, queue, workers):
        runs = state.runs_by_step.pop(key, None)
        try:
            yield from place(state, plan, key, step, queue, workers)
        finally:
            if runs:
                state.runs_by_step.setdefault(key, set()).update(runs)

    patch.setattr(scheduling_passes, 'place_gang', place_again)


@guard
def match_labels(patch):
    """A step's tasks run only on workers with the label it requires."""
    for module in (gangs, scheduling_passes):
        patch.setattr(module, 'match_workers', lambda _, workers: workers)


@guard
def limit_tasks_per_worker(patch):
    """At most some tasks of a step run on one worker at the same time."""
    patch.setattr(scheduling_passes, '_count_on_workers', lambda *_: {})


@guard
def repeat_stops_of_unknown_runs(patch):
    """A run whose task this owner does not know is stopped until it is gone.

    Its first stop call may be refused or lost.
    """
    stop_unknown_run = adoptions.stop_unknown_run

    def stop_once(state, worker, key):
        yield from stop_unknown_run(state, worker, key)
        state.pending_stops.pop(RunPlace(worker, key), None)

    patch.setattr(adoptions, 'stop_unknown_run', stop_once)


@pytest.mark.parametrize('name', GUARDS)
def test_random_faults_expose_a_removed_guard(name, monkeypatch):
    GUARDS[name](monkeypatch)
    for seed in SEEDS:
        try:
            check_outcome(
                simulate_faults(
                    seed, FAULTS, KINDS.get(name), **JOBS.get(name, {})
                )
            )
        except (RuleViolation, AssertionError, KeyError):
            return
    pytest.fail(f'no simulation fails without the safeguard {name!r}')
