"""Random jobs of the shapes that callers may submit.

Estimates are missing, or wrong by a factor of up to ten, and tasks last from
a fraction of a second to minutes.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace

from sassafrasgate.core.registries import Registry
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workflows import Workflow
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import WALL_MS

WORK_MS = (200, 1_500, 4_000, 12_000, 60_000, 300_000)
# Work as a multiple of the estimate; None for no estimate.
WORK_FACTORS = (None, 0.2, 0.5, 1.0, 1.0, 1.5, 2.0, 3.4, 5.0, 10.0)
MAX_DELAY_MS = 30_000
INTERVALS_MS = (500, 5_000, 20_000)
LABELS = ('', '', '', 'a', 'b', 'w0')
RACKS = ('', '', 'r1', 'r2')
MAX_PER_WORKER = (0, 0, 0, 1, 2)
CHECKPOINTING_SHARE = 0.3
JOB_SHAPES: Registry[str, Callable] = Registry('shape of a job')


@dataclass(frozen=True)
class RandomJob:
    """A job, and how long its tasks really take.

    Parameters
    ----------
    work_ms : tuple of int
        Duration of a task of each step, in ms.
    """

    workflow: Workflow
    work_ms: tuple[int, ...]

    @property
    def total_ms(self) -> int:
        """Duration of all tasks of all occurrences, in ms."""
        steps = zip(self.workflow.steps, self.work_ms, strict=True)
        one = sum(step.tasks * work for step, work in steps)
        return one * self.workflow.occurrences


def choose_estimate(random, work_ms):
    """Return an estimate for a task, which may be far off; 0 for none."""
    factor = random.choice(WORK_FACTORS)
    return 0 if factor is None else max(1, int(work_ms / factor))


def make_steps(random, most, **fields):
    """Return up to ``most`` steps, and the work of their tasks."""
    steps, works = [], []
    for number in range(random.randint(1, most)):
        work_ms = random.choice(WORK_MS)
        steps.append(
            make_step(
                random.randint(1, 4),
                choose_estimate(random, work_ms),
                after=(number - 1,) if number else (),
                label=random.choice(LABELS),
                rack=random.choice(RACKS),
                max_per_worker=random.choice(MAX_PER_WORKER),
                checkpointing=random.random() < CHECKPOINTING_SHARE,
                image=random.choice(('', 'image-1')),
                demand=Resources(random.choice((500, 1500, 3000)), 500),
                **fields,
            )
        )
        works.append(work_ms)
    return tuple(steps), tuple(works)


@JOB_SHAPES.register('plain')
def make_plain_job(random):
    """Return a job of one to three steps."""
    steps, works = make_steps(random, 3)
    return RandomJob(Workflow('payload', steps), works)


@JOB_SHAPES.register('gang')
def make_gang_job(random):
    """Return a job whose tasks run at the same time."""
    steps, works = make_steps(
        random, 2, gang=True, same_rack=random.random() < 0.5
    )
    # Few workers with a label have no room for a whole gang.
    steps = tuple(
        replace(
            step,
            label=step.label if step.label != 'w0' else '',
            max_per_worker=step.max_per_worker and 2,
        )
        for step in steps
    )
    return RandomJob(Workflow('payload', steps), works)


@JOB_SHAPES.register('speculative')
def make_speculative_job(random):
    """Return a job whose tasks may have several runs."""
    steps, works = make_steps(random, 1, speculative=True)
    return RandomJob(Workflow('payload', steps), works)


@JOB_SHAPES.register('timed')
def make_timed_job(random):
    """Return a job that is due later."""
    job = make_plain_job(random)
    due_ms = WALL_MS + random.randint(0, 2 * MAX_DELAY_MS)
    return replace(job, workflow=replace(job.workflow, start_at_ms=due_ms))


@JOB_SHAPES.register('repeating')
def make_repeating_job(random):
    """Return a job with several occurrences, which may overlap."""
    job = make_timed_job(random)
    workflow = replace(
        job.workflow,
        steps=job.workflow.steps[:1],
        occurrences=random.randint(2, 4),
        interval_ms=random.choice(INTERVALS_MS),
    )
    return RandomJob(workflow, (min(job.work_ms[0], 12_000),))


@JOB_SHAPES.register('lasting')
def make_lasting_job(random):
    """Return a job whose tasks run until it is cancelled."""
    steps, _ = make_steps(
        random,
        1,
        long_running=True,
        target_ms=random.choice((0, 50)),
        may_miss=random.choice((0, 1)),
    )
    return RandomJob(Workflow('payload', steps), (10**9,))


@JOB_SHAPES.register('filling')
def make_filling_job(random):
    """Return a job whose tasks use what other tasks leave."""
    steps, works = make_steps(random, 1, fills=True)
    return RandomJob(Workflow('payload', steps), works)


def make_random_job(random):
    """Return a job of a random shape."""
    shape = random.choice(sorted(JOB_SHAPES))
    return JOB_SHAPES.find(shape)(random)
