"""Jobs of every kind, in every state, for tests of single decisions.

A kind of job is a function that returns its workflow; a state is a function
that brings a job of any kind into it, as far as the kind has such a state.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sassafrasgate.core.registries import Registry
from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.dispatch.actions import StartRun
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import WALL_MS

JOB = '00000000000000aa'
MAX_ATTEMPTS = 3
DUE_IN_MS = 60_000
# A driver's clock begins here, so a job that is due then is due at once.
BEGINS_MS = 1_000
JOB_KINDS: Registry[str, Callable[[], Workflow]] = Registry('kind of job')
JOB_STATES: Registry[str, Callable[['JobDriver'], None]] = Registry(
    'state of a job'
)


@dataclass(frozen=True)
class StartedRun:
    """A run that a worker has confirmed."""

    worker: str
    run: object


class JobDriver:
    """An owner with one job, whose starts are confirmed step by step.

    Parameters
    ----------
    workflow : Workflow
        The job.
    queue : str
        Queue of the job.
    """

    def __init__(self, workflow, queue):
        self.driver = Driver(workers=3)
        self.workflow = workflow
        self.queue = queue

    def submit(self):
        """Submit the job; return the actions."""
        return self.driver.submit_workflow(JOB, self.workflow, self.queue)

    def answer_advice(self):
        """Let the advice service admit all workers, so that runs start."""
        return self.driver.answer_advice()

    def start(self):
        """Let the job's tasks be started, but not confirmed."""
        wait_ms = self.workflow.start_at_ms - WALL_MS - self.driver.now
        self.driver.wait(max(0, wait_ms))
        return self.answer_advice()

    def confirm(self):
        """Let the workers confirm all starts that are open."""
        confirmed = set()
        for start in select_actions(self.driver.actions, StartRun):
            if self.driver.state.find_run(start.worker, start.run):
                confirmed.add((start.worker, start.run))
        self.driver.confirm_runs(confirmed)

    def list_runs(self):
        """Return the runs that workers have, as pairs of worker and run."""
        return [
            StartedRun(worker, run)
            for worker, runs in self.driver.running.items()
            for run in runs
        ]

    def end_runs(self, how):
        """Let all runs that workers have end at once."""
        for run in self.list_runs():
            self.driver.report(run.worker, ended=((run.run, how),))


@JOB_KINDS.register('plain')
def make_plain_job():
    """Return a job of one step."""
    return Workflow('payload', (make_step(2),))


@JOB_KINDS.register('chain')
def make_chain():
    """Return a job whose second step waits for the first one."""
    return Workflow('payload', (make_step(2), make_step(1, after=(0,))))


@JOB_KINDS.register('gang')
def make_gang():
    """Return a job whose tasks run at the same time."""
    return Workflow('payload', (make_step(3, gang=True, checkpointing=True),))


@JOB_KINDS.register('timed')
def make_timed_job():
    """Return a job that is due later."""
    steps = (make_step(2), make_step(1, after=(0,)))
    due_ms = WALL_MS + BEGINS_MS + DUE_IN_MS
    return Workflow('payload', steps, start_at_ms=due_ms)


@JOB_KINDS.register('repeating')
def make_repeating_job():
    """Return a job whose first occurrence is due at once."""
    return Workflow(
        'payload', (make_step(2),), 3, WALL_MS + BEGINS_MS, DUE_IN_MS
    )


@JOB_KINDS.register('lasting')
def make_lasting_job():
    """Return a job whose tasks run until it is cancelled."""
    step = make_step(2, long_running=True, target_ms=50, may_miss=1)
    return Workflow('payload', (step,))


@JOB_KINDS.register('filling')
def make_filling_job():
    """Return a job whose tasks use what other tasks leave."""
    return Workflow('payload', (make_step(2, fills=True),))


@JOB_KINDS.register('speculative')
def make_speculative_job():
    """Return a job whose tasks may have several runs."""
    return Workflow('payload', (make_step(2, speculative=True),))


@JOB_STATES.register('accepted')
def accept(job):
    """The job is accepted; its record is not durable yet."""
    job.driver.is_durable = False
    job.submit()


@JOB_STATES.register('waiting')
def let_wait(job):
    """The job is durable and not due, or its tasks are being started."""
    job.submit()


@JOB_STATES.register('starting')
def let_start(job):
    """Start calls are open."""
    job.submit()
    job.start()


@JOB_STATES.register('running')
def let_run(job):
    """Runs are confirmed and have made some progress."""
    let_start(job)
    job.confirm()
    for runs in job.driver.running.values():
        for run in runs:
            runs[run] = 30
    job.driver.wait(500)
    for worker in job.driver.running:
        job.driver.report(worker)


@JOB_STATES.register('partly done')
def finish_first_runs(job):
    """One task has finished, or one occurrence of several."""
    let_run(job)
    for run in job.list_runs()[:1]:
        job.driver.report(run.worker, ended=((run.run, EndKind.FINISHED),))


@JOB_STATES.register('between steps')
def finish_all_runs(job):
    """All runs have finished; further steps or occurrences may follow."""
    let_run(job)
    job.end_runs(EndKind.FINISHED)


@JOB_STATES.register('ending')
def end_without_records(job):
    """All runs have finished, and the records of it are not durable."""
    let_run(job)
    job.driver.is_durable = False
    job.end_runs(EndKind.FINISHED)


@JOB_STATES.register('completed')
def complete(job):
    """All steps of all occurrences have finished, or nearly so."""
    let_run(job)
    for _ in range(4):
        job.end_runs(EndKind.FINISHED)
        job.driver.wait(DUE_IN_MS)
        job.answer_advice()
        job.confirm()


@JOB_STATES.register('failed')
def fail_all_attempts(job):
    """The tasks have failed as often as they may."""
    let_run(job)
    for _ in range(MAX_ATTEMPTS):
        job.end_runs(EndKind.FAILED)
        job.driver.wait(5_000)
        job.answer_advice()
        job.confirm()


@JOB_STATES.register('cancelling')
def cancel_without_records(job):
    """The job is cancelled, its runs are there, no record is durable."""
    let_run(job)
    job.driver.is_durable = False
    job.driver.cancel(JOB)


@JOB_STATES.register('cancelled')
def cancel_running(job):
    """The job is cancelled and its runs have ended."""
    let_run(job)
    job.driver.cancel(JOB)
    job.end_runs(EndKind.STOPPED)


@JOB_STATES.register('cancelled before it runs')
def cancel_waiting(job):
    """The job is cancelled as soon as it is accepted."""
    job.submit()
    job.driver.cancel(JOB)


@JOB_STATES.register('taken over')
def replace_owner(job):
    """Another owner has read the job from the journal, and no report yet."""
    let_run(job)
    job.driver.replace_owner(snapshot=False)


@JOB_STATES.register('handed over')
def hand_over(job):
    """Another owner has got a snapshot of the job before it is due."""
    job.submit()
    job.driver.hand_over()
