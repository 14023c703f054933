"""Shows that the walks turn red when a guard of the dispatcher is removed."""

import pytest

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.dispatch import gangs
from sassafrasgate.dispatch import recovery
from sassafrasgate.dispatch import reports
from sassafrasgate.dispatch import scheduling_passes
from sassafrasgate.dispatch import start_replies
from sassafrasgate.dispatch.actions import AcknowledgeEnds
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.state import DispatchState
from tests.dispatch import simulation
from tests.dispatch.simulation import RuleViolation
from tests.dispatch.test_random_faults import check_outcome
from tests.dispatch.test_random_faults import walk

SEEDS = range(150)
FAULTS = 12
GUARDS = {}
# Faults to draw from, for guards that few of the walks need.
KINDS = {
    'fence_each_life': ('restart_worker', 'lose_calls'),
    'keep_starts_over_restarts': ('restart_worker', 'lose_calls'),
}


def guard(remove):
    """Register the removal of a guard."""
    GUARDS[remove.__name__] = remove
    return remove


@guard
def wait_for_unsettled_workers(patch):
    """A new owner waits for what an earlier one may have started."""
    patch.setattr(recovery, 'compute_takeover_expiry', lambda *_: 0)


@guard
def keep_uncertain_starts(patch):
    """A start without an answer may still be carried out."""

    def forget(state, event):
        run = state.runs.get(event.run)
        if run is not None:
            yield from reports.lose_run(state, run, 'no answer')

    patch.setitem(EVENT_HANDLERS._items, start_replies.RunUnanswered, forget)


@guard
def fence_each_life(patch):
    """A restarted worker obeys calls from before its restart."""
    patch.setattr(
        simulation, 'make_fencing_token', lambda epoch, restarts: epoch * 1000
    )


@guard
def keep_starts_over_restarts(patch):
    """A start may reach the new life of a worker that restarts."""

    def drop(state, event):
        yield from reports.lose_worker_runs(state, event.worker, 'restarted')

    patch.setattr(reports, '_process_restart', drop)


@guard
def reserve_room(patch):
    """Runs hold their room until they are known to be gone."""
    add_run = DispatchState.add_run

    def add(self, entry):
        free = dict(self.free_resources)
        add_run(self, entry)
        self.free_resources = free

    patch.setattr(DispatchState, 'add_run', add)


@guard
def wait_for_lapse(patch):
    """Runs of a silent worker go on until their lease has lapsed."""

    def lose(state, event):
        entry = state.workers.get(event.worker)
        if entry is not None:
            yield from reports.lose_worker_runs(state, event.worker, 'silent')

    patch.setitem(EVENT_HANDLERS._items, reports.WorkerSilent, lose)


@guard
def acknowledge_durable_ends(patch):
    """An end may be forgotten only once its record is in the journal."""
    note_ended = reports._process_ended

    def note(state, event, ended):
        yield from note_ended(state, event, ended)
        yield AcknowledgeEnds(
            event.worker, event.report.incarnation_ms, ended.number
        )

    patch.setattr(reports, '_process_ended', note)


@guard
def count_failures(patch):
    """A task gets a limited number of attempts."""
    apply_run_end = recovery.apply_run_end

    def note(state, record, key):
        if record.how is not EndKind.FAILED:
            apply_run_end(state, record, key)

    patch.setattr(recovery, 'apply_run_end', note)


@guard
def keep_gangs_whole(patch):
    """A gang starts again only when no member of it is left."""
    place = gangs.place_gang

    def place_again(state, plan, key, step, terms, workers):
        runs = state.runs_by_step.pop(key, None)
        try:
            yield from place(state, plan, key, step, terms, workers)
        finally:
            if runs:
                state.runs_by_step.setdefault(key, set()).update(runs)

    patch.setattr(scheduling_passes, 'place_gang', place_again)


@pytest.mark.parametrize('name', GUARDS)
def test_walks_are_red_without_the_guard(name, monkeypatch):
    GUARDS[name](monkeypatch)
    for seed in SEEDS:
        try:
            check_outcome(walk(seed, FAULTS, KINDS.get(name)))
        except (RuleViolation, AssertionError, KeyError):
            return
    pytest.fail(f'no walk shows that the guard {name!r} is gone')
