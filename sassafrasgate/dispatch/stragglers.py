"""Detection of slow workers by the progress of their runs.

Estimates are too rough to judge a single run, and all those of a queue may be
wrong alike. A run is compared with other runs of its step if there are any.
The runs of several jobs on a worker are compared with their estimates, and
these with the runs of other workers. The members of a gang advance together,
so their progress says nothing about a single worker. Neither does that of a
best-effort task, which only gets processor time that other tasks leave.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.entries import RunEntry
from sassafrasgate.dispatch.entries import SlowPeriod
from sassafrasgate.dispatch.entries import Suspicion
from sassafrasgate.dispatch.moves import can_be_judged
from sassafrasgate.dispatch.moves import find_expected_ms
from sassafrasgate.dispatch.moves import find_history
from sassafrasgate.dispatch.moves import MOVE_COST_MS
from sassafrasgate.dispatch.moves import move_run
from sassafrasgate.dispatch.speeds import DEFAULT_ESTIMATE_MS
from sassafrasgate.dispatch.usual_rates import MAX_RATE_AGE_MS
from sassafrasgate.dispatch.usual_rates import UsualRates

if TYPE_CHECKING:
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState

# A worker below this fraction of the usual speed is slow.
SLOW_SHARE = 0.35
# Interval between two checks of all workers; rates change no faster.
CHECK_INTERVAL_MS = 400
# A worker whose runs can't be compared with other runs of their steps is only
# judged by the runs of this many jobs.
MIN_JOBS = 2
# Evidence of one job is kept for this time, until that of another joins it.
SUSPICION_MS = 10_000
# With more workers than this, the speed of a single one hardly changes that of
# all others, which is then computed once.
MAX_COMPARED_WORKERS = 16
# Number of finished runs that tell how accurate estimates are.
MAX_FINISHED_SHARES = 32
INITIAL_PAUSE_MS = 2_500
MAX_PAUSE_MS = 10_000
# A run is moved, without any comparison, if it has run for longer than its
# estimate plus the margin, and would still need more than this multiple of its
# estimate plus the cost of a move. Estimates are too low by a factor of up to
# five.
OVERDUE_FACTOR = 6
OVERDUE_MARGIN_MS = 2_000


@dataclass(frozen=True, slots=True)
class SpeedSample:
    """Speed of one run on a worker.

    Parameters
    ----------
    usual_rate : float or None
        Rate of other runs of the step, in percent per second; None if there
        are none.
    share : float
        Rate of the run as a multiple of its expected rate; negative if there
        is no estimate.
    is_stalled : bool
        Whether the run makes no progress.
    """

    run: RunEntry
    usual_rate: float | None
    share: float
    is_stalled: bool


@dataclass(frozen=True, slots=True)
class WorkerSpeed:
    """Speed of a worker as the progress of its runs shows it.

    Parameters
    ----------
    share : float
        Fraction of the usual speed.
    accuracy : float or None
        Share of its expected speed that a run usually has on other workers;
        None if that is not known.
    is_compared : bool
        Whether other runs of the same steps, or runs of several jobs, show
        that the worker is the cause.
    """

    share: float
    accuracy: float | None
    is_compared: bool


class EstimateAccuracy:
    """Shares of their expected speed that runs usually have.

    Without comparison, tasks whose estimates are all too low would show each
    of their workers as slow.

    Parameters
    ----------
    finished : list of float
        Shares of the runs that finished last, on any worker. Those on a
        worker that has become slow since then tell as much as others.
    samples : dict
        Speeds of the runs on each worker.
    """

    def __init__(
        self,
        finished: list[float],
        samples: dict[str, list[SpeedSample]],
    ) -> None:
        self._finished = finished
        self._samples = samples
        # Median of the shares on each worker.
        self._shares: dict[str, float] | None = None
        self._overall: float | None = None

    def find(self, worker: str) -> float | None:
        """Return the usual share, to judge a worker; None if it is not known.

        The runs that are on the worker now are left out. The share is 1 at
        the most: runs that are faster than expected elsewhere don't show that
        a worker is slow.
        """
        if self._shares is None:
            self._shares = self._compute_shares()
            self._overall = self._compute_accuracy('')
        if len(self._shares) > MAX_COMPARED_WORKERS:
            return self._overall
        return self._compute_accuracy(worker)

    def _compute_shares(self) -> dict[str, float]:
        shares = {}
        for worker, found in self._samples.items():
            known = [
                sample.share
                for sample in found
                if sample.share > 0 and not sample.is_stalled
            ]
            if known:
                shares[worker] = median(known)
        return shares

    def _compute_accuracy(self, left_out: str) -> float | None:
        assert self._shares is not None
        shares = [
            share
            for worker, share in self._shares.items()
            if worker != left_out
        ]
        shares += self._finished
        return min(1.0, median(shares)) if shares else None


def record_finished_run(state: DispatchState, run: RunEntry) -> None:
    """Record the speed of a finished run, to compare other runs with it."""
    ran_ms = max(1, state.now - run.started_at)
    state.step_rates[run.step] = 100_000 / ran_ms
    state.suspected_workers.pop(run.worker, None)
    if not run.expected_ms or run.step not in state.steps:
        return
    if state.find_step(run.step).long_running or run.fills:
        return
    state.finished_shares.append(run.expected_ms / ran_ms)
    del state.finished_shares[:-MAX_FINISHED_SHARES]


def handle_stragglers(state: DispatchState) -> Actions:
    """Pause slow workers, and move runs that would end sooner elsewhere."""
    if state.now < state.stragglers_checked_at + CHECK_INTERVAL_MS:
        return
    state.stragglers_checked_at = state.now
    rates = UsualRates(state)
    samples = {
        worker: found
        for worker in state.runs_by_worker
        if (found := _measure_runs(state, worker, rates))
    }
    accuracies = EstimateAccuracy(state.finished_shares, samples)
    for worker, found in samples.items():
        speed = _judge_worker(found, accuracies, worker)
        if speed is None or speed.share >= SLOW_SHARE:
            continue
        jobs = frozenset(sample.run.step.job_id for sample in found)
        if speed.is_compared or _is_suspected(state, worker, jobs):
            yield from _pause_worker(state, worker, speed.share)
        yield from _move_runs(state, worker, speed, rates)
    yield from _move_overdue_runs(state)
    _forget_periods(state)


def _forget_periods(state: DispatchState) -> None:
    for worker, period in list(state.slow_workers.items()):
        # The period is kept after its end so that the next one can be twice
        # as long.
        if state.now >= period.ends_at + period.duration_ms:
            del state.slow_workers[worker]
    for worker, suspicion in list(state.suspected_workers.items()):
        if state.now >= suspicion.since + SUSPICION_MS:
            del state.suspected_workers[worker]


def _is_suspected(
    state: DispatchState, worker: str, jobs: frozenset[str]
) -> bool:
    """Add evidence against a worker; return whether there is enough of it.

    Tasks of one job may be as slow on any worker.
    """
    known = state.suspected_workers.get(worker)
    if known is not None:
        jobs |= known.jobs
    state.suspected_workers[worker] = Suspicion(jobs, state.now)
    return len(jobs) >= MIN_JOBS


def _pause_worker(state: DispatchState, worker: str, share: float) -> Actions:
    period = state.slow_workers.get(worker)
    pause_ms = INITIAL_PAUSE_MS
    if period is not None:
        if state.now < period.ends_at:
            return
        pause_ms = min(2 * period.duration_ms, MAX_PAUSE_MS)
    state.slow_workers[worker] = SlowPeriod(
        share, state.now + pause_ms, pause_ms
    )
    yield LogEvent(
        'worker-slow',
        '',
        (
            ('worker', worker),
            ('share', round(share, 2)),
            ('runs', len(state.runs_by_worker.get(worker, ()))),
            ('pause_ms', pause_ms),
        ),
    )


def _measure_runs(
    state: DispatchState, worker: str, rates: UsualRates
) -> list[SpeedSample]:
    """Return the speeds of the runs that say something about a worker."""
    samples = []
    for run in state.list_runs_on(worker):
        if not can_be_judged(state, run) or not _has_fresh_rate(state, run):
            continue
        if state.find_step(run.step).gang:
            continue
        expected_ms = find_expected_ms(state, run)
        samples.append(
            SpeedSample(
                run,
                rates.find(run),
                run.speed.highest_rate * expected_ms / 100_000
                if expected_ms
                else -1.0,
                run.speed.still_ms >= run.speed.find_stall_ms(expected_ms),
            )
        )
    return samples


def _has_fresh_rate(state: DispatchState, run: RunEntry) -> bool:
    """Return whether a run's rate tells how it advances now.

    That of a run on a worker that does not respond is not known.
    """
    worker = state.workers.get(run.worker)
    if worker is None or worker.silent_since:
        return False
    return state.now - run.speed.measured_at <= MAX_RATE_AGE_MS


def _judge_worker(
    found: list[SpeedSample], accuracies: EstimateAccuracy, worker: str
) -> WorkerSpeed | None:
    """Return a worker's speed, or None if its runs don't tell.

    Parameters
    ----------
    found : list of SpeedSample
        Speeds of the runs on the worker.
    """
    jobs = {sample.run.step.job_id for sample in found}
    is_compared = len(jobs) >= MIN_JOBS or any(
        sample.usual_rate is not None for sample in found
    )
    accuracy = None
    if any(sample.usual_rate is None for sample in found):
        accuracy = accuracies.find(worker)
    if all(sample.is_stalled for sample in found):
        return WorkerSpeed(0.0, accuracy, is_compared)
    if not is_compared:
        return None
    shares = []
    for sample in found:
        if sample.usual_rate is not None:
            rate = sample.run.speed.highest_rate
            shares.append(rate / sample.usual_rate)
        elif accuracy is not None and sample.share >= 0:
            shares.append(sample.share / accuracy)
    if not shares:
        return None
    return WorkerSpeed(median(shares), accuracy, True)


def _move_runs(
    state: DispatchState, worker: str, speed: WorkerSpeed, rates: UsualRates
) -> Actions:
    for run in state.list_runs_on(worker):
        # A move of a gang also stops other runs on this worker.
        if not can_be_judged(state, state.runs[run.place]):
            continue
        usual_rate = rates.find(run)
        expected_ms = find_expected_ms(state, run) or DEFAULT_ESTIMATE_MS
        elsewhere_ms = expected_ms / (speed.accuracy or 1.0)
        if usual_rate is not None:
            elsewhere_ms = 100_000 / usual_rate
        known = (
            run.speed.proven_rate > 0 or find_history(state, run).shown_ms > 0
        )
        yield from move_run(
            state,
            run,
            elsewhere_ms,
            speed.is_compared or known,
            f'worker {worker} is slow',
        )


def _move_overdue_runs(state: DispatchState) -> Actions:
    """Move runs that take far longer than expected, without a comparison.

    If the next run of the task is as slow, the estimate is wrong.
    """
    for run in list(state.runs.values()):
        if not _is_overdue(state, state.runs[run.place]):
            continue
        expected_ms = find_expected_ms(state, run)
        reason = f'it takes far longer than the expected {expected_ms} ms'
        yield from move_run(state, run, expected_ms, False, reason)
        if not state.runs[run.place].stopping:
            continue
        jobs = frozenset({run.step.job_id})
        runs = [run]
        if state.find_step(run.step).gang:
            runs = state.list_runs_of(run.step)
        for worker in sorted({entry.worker for entry in runs}):
            if _is_suspected(state, worker, jobs):
                yield from _pause_worker(state, worker, 0.0)


def _is_overdue(state: DispatchState, run: RunEntry) -> bool:
    if state.now - run.started_at < run.expected_ms + OVERDUE_MARGIN_MS:
        return False
    if not can_be_judged(state, run) or not _has_fresh_rate(state, run):
        return False
    expected_ms = find_expected_ms(state, run)
    if not expected_ms:
        return False
    left_ms = (100 - run.percent) * 1000 / run.speed.highest_rate
    return left_ms > OVERDUE_FACTOR * (expected_ms + MOVE_COST_MS)
