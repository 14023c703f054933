"""Tests of jobs of every shape under random faults, in virtual time."""

from collections import defaultdict
from dataclasses import fields
from math import log2
from random import Random

import pytest

from sassafrasgate.core.workflows import FINAL_WORKFLOW_STATES
from sassafrasgate.core.workflows import Step
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.speeds import STALL_MS
from tests.dispatch.random_jobs import make_random_job
from tests.dispatch.test_random_faults import cancel_until_confirmed
from tests.dispatch.test_random_faults import check_outcome
from tests.dispatch.test_random_faults import FAULTS
from tests.dispatch.test_random_faults import RandomFaultCluster

JOBS = 14
SUBMIT_PERIOD_MS = 20_000
FAULTS_PER_RUN = 10
# Share of the jobs that their callers cancel, at any state.
CANCEL_SHARE = 0.3
MAX_CANCEL_DELAY_MS = 60_000
# Jobs that last are cancelled at this time.
END_OF_LASTING_MS = 120_000
SLACK_MS = 120_000
SEEDS = range(24)


def change_speed(cluster, random):
    """The tasks on a worker are slow or stand still for a while."""
    worker = cluster.workers[random.choice(sorted(cluster.workers))]
    worker.change_speed(cluster.now, random.choice((0.0, 0.12, 0.5)))

    def recover():
        worker.change_speed(cluster.now, 1.0)

    cluster.call_later(random.choice((2_000, 7_000, 40_000)), recover)


# Apart from the other faults, because the course of their seeds depends on
# their number.
JOB_FAULTS = {**FAULTS, 'change_speed': change_speed}


class JobRun:
    """A cluster with random jobs.

    Parameters
    ----------
    seed : int
        Seed of the jobs and faults.
    faults : int
        Number of random faults.
    """

    def __init__(self, seed, faults):
        self.random = Random(seed)
        self.cluster = RandomFaultCluster(seed)
        for name in self.cluster.workers:
            labels = self.cluster.rules.labels[name]
            self.cluster.rules.labels[name] = (*labels, name)
        self.jobs = {}
        self.cluster.start_owner()
        for number in range(JOBS):
            self._add_job(f'{number:016x}')
        kinds = sorted(JOB_FAULTS)
        for _ in range(faults):
            make = JOB_FAULTS[self.random.choice(kinds)]
            self.cluster.call_later(
                self.random.randint(0, SUBMIT_PERIOD_MS),
                lambda make=make: make(self.cluster, self.random),
            )

    def _add_job(self, job_id):
        job = make_random_job(self.random)
        self.jobs[job_id] = job
        submit_at = self.random.randint(0, SUBMIT_PERIOD_MS)
        queue = self.random.choice(('q', 'q', 'advised'))
        if any(step.label for step in job.workflow.steps):
            # The advice service may admit no worker with the label.
            queue = 'q'
        cluster = self.cluster

        def submit():
            caller = cluster.callers.get(job_id)
            if caller is not None and caller.accepted:
                return
            cluster.submit(job_id, job.workflow, queue, job.work_ms)
            cluster.call_later(300, submit)

        cluster.call_later(submit_at, submit)
        cancel_at = END_OF_LASTING_MS
        if self.random.random() < CANCEL_SHARE:
            delay_ms = self.random.randint(0, MAX_CANCEL_DELAY_MS)
            cancel_at = submit_at + delay_ms
        elif not any(step.long_running for step in job.workflow.steps):
            return
        cluster.call_later(cancel_at, lambda: self._cancel(job_id))

    def _cancel(self, job_id):
        caller = self.cluster.callers[job_id]
        if not caller.accepted:
            self.cluster.call_later(300, lambda: self._cancel(job_id))
            return
        if self.cluster.find_shown_state(job_id) in FINAL_WORKFLOW_STATES:
            return
        cancel_until_confirmed(self.cluster, caller)

    def compute_end_ms(self):
        """Return by when all jobs have to end, whatever their estimates.

        It is the time for all work one after the other, done twice and spread
        over the cores of one worker, plus that for faults and waits.
        """
        work_ms = sum(
            job.total_ms
            for job in self.jobs.values()
            if not any(step.long_running for step in job.workflow.steps)
        )
        longest = max(
            max(job.work_ms)
            for job in self.jobs.values()
            if not any(step.long_running for step in job.workflow.steps)
        )
        return END_OF_LASTING_MS + SLACK_MS + work_ms + 4 * longest

    def finish(self):
        """Run until all jobs should have ended, and check that they have."""
        end_ms = self.compute_end_ms()
        while self.cluster.now < end_ms and not self._have_ended():
            self.cluster.run(min(end_ms, self.cluster.now + 10_000))
        self.cluster.run(self.cluster.now + 10_000)
        check_outcome(self.cluster)

    def _have_ended(self):
        callers = self.cluster.callers
        states = [self.cluster.find_shown_state(job_id) for job_id in callers]
        return len(callers) == JOBS and all(
            state is None or state in FINAL_WORKFLOW_STATES for state in states
        )

    def count_allowed_starts(self, job, step):
        """Return how often a task may be started if nothing disturbs it.

        Each move needs twice the time of the one before, and the last run
        finishes.
        """
        work_ms = max(job.work_ms[step], STALL_MS)
        return 2 + int(log2(work_ms / STALL_MS))


def test_jobs_differ_in_each_field_of_job_and_step():
    # Guards against a field that random runs leave at its default, so that
    # nothing tries it together with others.
    random = Random(1)
    drawn = {Workflow: defaultdict(set), Step: defaultdict(set)}
    for _ in range(1_000):
        workflow = make_random_job(random).workflow
        for item in (workflow, *workflow.steps):
            for field in fields(item):
                drawn[type(item)][field.name].add(getattr(item, field.name))
    constant = {
        name
        for kind in drawn.values()
        for name, values in kind.items()
        if len(values) < 2
    }
    # Workers get the payload as it is.
    assert constant == {'payload'}


@pytest.mark.parametrize('seed', SEEDS)
def test_every_job_ends_whatever_its_estimate_says(seed):
    # Guards against work that is moved for ever because its estimate is
    # missing or wrong or its tasks take minutes, against timed jobs that run
    # after their cancel, and against decisions with an unexpected error.
    JobRun(seed, FAULTS_PER_RUN).finish()


@pytest.mark.parametrize('seed', SEEDS)
def test_undisturbed_tasks_are_rarely_started_again(seed):
    # Guards against moves of tasks on sound workers: each one loses work.
    run = JobRun(seed, 0)
    for worker in run.cluster.workers.values():
        worker.failure_rate = 0.0
    run.finish()
    for task, starts in run.cluster.rules.starts_by_task.items():
        job_id, _, step, _ = task.split('.')
        job = run.jobs[job_id]
        if not job.workflow.steps[int(step)].long_running:
            assert starts <= run.count_allowed_starts(job, int(step)), task
    for job_id, caller in run.cluster.callers.items():
        shown = run.cluster.find_shown_state(job_id)
        if not caller.cancelled and shown is not None:
            assert shown is WorkflowState.COMPLETED, job_id
