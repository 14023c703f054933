"""Guards the rules of a day under random faults, in virtual time."""

from random import Random

import pytest

from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workflows import FINAL_WORKFLOW_STATES
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import SimCluster

JOBS = 24
DAY_MS = 20_000
END_MS = 120_000
SEEDS = range(60)


def make_workflow(random):
    """Return a job of one to three steps, some of them gangs."""
    steps = []
    for number in range(random.choice((1, 1, 1, 2, 3))):
        gang = random.random() < 0.3
        steps.append(
            make_step(
                random.randint(1, 6),
                random.choice((200, 600, 1500)),
                after=(number - 1,) if number else (),
                gang=gang,
                demand=Resources(random.choice((500, 1500, 3000)), 500),
            )
        )
    return Workflow('payload', tuple(steps))


FAULTS = {}


def fault(make):
    """Register a fault that a walk may inject."""
    FAULTS[make.__name__] = make
    return make


@fault
def kill_owner(world, random):
    """The owner dies and another one takes over."""
    world.new_owner()


@fault
def depose_owner(world, random):
    """Another owner takes over while the old one goes on unaware."""
    world.new_owner(kill=False)


@fault
def cut_worker(world, random):
    """A worker is cut off and runs on."""
    name = random.choice(sorted(world.workers))
    world.cut.add(name)
    world.later(
        random.choice((300, 2_000, 7_000)), lambda: world.cut.discard(name)
    )


@fault
def restart_worker(world, random):
    """A worker crashes and starts again under its id."""
    world.restart_worker(random.choice(sorted(world.workers)))


@fault
def lose_calls(world, random):
    """Calls and answers are lost, or carried out late."""
    world.lossy = 0.15
    world.later(random.choice((500, 3_000)), lambda: world.calm())


@fault
def cancel_job(world, random):
    """A caller cancels a job."""
    accepted = [c for c in world.callers.values() if c.accepted]
    if accepted:
        world.cancel(random.choice(accepted).job_id)


@fault
def fail_worker(world, random):
    """A worker fails most of what it starts for a while."""
    worker = world.workers[random.choice(sorted(world.workers))]
    worker.fail_share = 0.8

    def recover():
        worker.fail_share = 0.03

    world.later(3_000, recover)


@fault
def drain_worker(world, random):
    """A worker takes no new work for a while."""
    change_entry(world, world.leaving, random)


@fault
def unlist_worker(world, random):
    """A worker's entry is gone for a while; the worker runs on."""
    change_entry(world, world.unlisted, random)


def change_entry(world, names, random):
    """Put a worker among some names, and take it out later."""
    name = random.choice(sorted(world.workers))
    names.add(name)
    world.announce(name)

    def recover():
        names.discard(name)
        world.announce(name)

    world.later(random.choice((500, 3_000, 9_000)), recover)


@fault
def take_snapshot(world, random):
    """The journal is cut down to a snapshot."""
    world.snapshot()


class Walk(SimCluster):
    """A world in which calls can become sound again."""

    def calm(self):
        """End the loss of calls."""
        self.lossy = 0.0


def walk(seed, faults, kinds=None):
    """Run one day with faults, then wait until every job has ended."""
    kinds = sorted(kinds or FAULTS)
    random = Random(seed)
    world = Walk(seed)
    world.new_owner()
    for number in range(JOBS):
        at = random.randint(0, DAY_MS)
        queue = random.choice(('q', 'advised'))
        workflow = make_workflow(random)

        def hand_in(number=number, workflow=workflow, queue=queue):
            caller = world.submit(f'{number:016x}', workflow, queue)
            world.later(300, lambda: retry(caller))

        def retry(caller):
            if not caller.accepted:
                world.submit(caller.job_id, caller.workflow, caller.queue)
                world.later(300, lambda: retry(caller))

        world.later(at, hand_in)
    for _ in range(faults):
        make = FAULTS[random.choice(kinds)]
        world.later(
            random.randint(0, DAY_MS), lambda make=make: make(world, random)
        )
    world.run(END_MS)
    return world


@pytest.mark.parametrize('seed', SEEDS)
def test_every_accepted_job_ends_once_whatever_fails(seed):
    check_outcome(walk(seed, faults=12))


def check_outcome(world):
    """Check the ends of all jobs once a day is over."""
    for caller in world.callers.values():
        assert caller.accepted
        shown = world.find_shown_state(caller.job_id)
        if shown is None:
            # Its owner has kept the state for long enough.
            continue
        assert shown in FINAL_WORKFLOW_STATES, caller.job_id
        if caller.cancelled:
            assert shown is WorkflowState.CANCELLED
        if shown is WorkflowState.FAILED:
            assert world.rules.has_failed(caller.job_id)
        if shown is WorkflowState.COMPLETED:
            for number, step in enumerate(caller.workflow.steps):
                for index in range(step.tasks):
                    task = f'{caller.job_id}.0.{number}.{index}'
                    assert task in world.rules.finished
    assert not any(worker.runs for worker in world.workers.values())


def test_a_calm_day_wastes_no_start():
    """Guards against retries, stops or second runs without any fault."""
    world = Walk(1)
    for worker in world.workers.values():
        worker.fail_share = 0.0
    world.new_owner()
    tasks = 0
    random = Random(5)
    for number in range(JOBS):
        workflow = make_workflow(random)
        tasks += sum(step.tasks for step in workflow.steps)
        world.later(
            number * 300,
            lambda n=number, w=workflow: world.submit(f'{n:016x}', w),
        )
    world.run(END_MS)
    assert world.rules.starts == tasks
    for caller in world.callers.values():
        assert world.find_shown_state(caller.job_id) is WorkflowState.COMPLETED
