"""Tests the order of queued jobs, and that no job blocks the others."""

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from

from sassafrasgate.core.cells import Team
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.queues import CLASS_ORDER
from sassafrasgate.placement.queues import JobQueue
from sassafrasgate.placement.queues import MAX_REFUSALS
from tests.placement.builders import make_spec


def start_fitting_jobs(queue, now=0, fits=lambda spec: True, reserved=None):
    """Run one pass and start the jobs that fit; return all offered jobs."""
    offered = []
    for job in queue.begin_pass(now, reserved or {}):
        offered.append(job)
        if fits(job.spec):
            queue.remove(job.job_id)
    return offered


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a dictionary of the same jobs."""

    @initialize()
    def start(self):
        self.queue = JobQueue([Team('a', 3), Team('b')])
        self.jobs = {}
        self.now = 0

    @rule(
        number=integers(0, 40),
        team=sampled_from('abc'),
        job_class=sampled_from(list(JobClass)),
        cores=integers(1, 4),
        memory=integers(1, 4),
        priority=integers(-1, 1),
        deadline_s=sampled_from([0.0, 1.0, 5.0]),
    )
    def add(
        self, number, team, job_class, cores, memory, priority, deadline_s
    ):
        spec = make_spec(
            job_class,
            team=team,
            demand=Resources(cores, memory),
            priority=priority,
            deadline_s=deadline_s,
        )
        self.queue.add(f'j{number}', spec, self.now)
        self.jobs.setdefault(f'j{number}', (spec, self.now))

    @rule(number=integers(0, 40))
    def remove(self, number):
        known = self.jobs.pop(f'j{number}', None) is not None
        assert self.queue.remove(f'j{number}') == known

    @rule(elapsed=integers(1, 2000))
    def wait(self, elapsed):
        self.now += elapsed

    @rule()
    def drop_expired(self):
        for job in self.queue.list_expired(self.now):
            assert self.is_expired(job.job_id)
            self.queue.remove(job.job_id)
            del self.jobs[job.job_id]
        assert not any(self.is_expired(job_id) for job_id in self.jobs)

    @rule(cores=integers(0, 4), memory=integers(0, 4), limit=integers(0, 9))
    def run_pass(self, cores, memory, limit):
        """Run a pass and start at most ``limit`` jobs, those that fit."""
        free = Resources(cores, memory)
        offered = []
        started = 0
        for job in self.queue.begin_pass(self.now):
            offered.append(job)
            assert not self.is_expired(job.job_id)
            if started < limit and job.spec.demand.fits_in(free):
                self.queue.remove(job.job_id)
                del self.jobs[job.job_id]
                started += 1
        assert len({job.job_id for job in offered}) == len(offered)
        self.check_order(offered)
        if started < limit:
            for job_id, (spec, _) in self.jobs.items():
                assert self.is_expired(job_id) or not spec.demand.fits_in(free)

    @rule(count=integers(0, 3))
    def begin_and_abandon_pass(self, count):
        for _, job in zip(
            range(count), self.queue.begin_pass(self.now), strict=False
        ):
            assert job.job_id in self.jobs

    @invariant()
    def counts_agree(self):
        assert len(self.queue) == len(self.jobs)
        for team in 'abc':
            own = [spec for spec, _ in self.jobs.values() if spec.team == team]
            assert self.queue.count_queued(team) == len(own)

    def is_expired(self, job_id):
        spec, added = self.jobs[job_id]
        return bool(spec.deadline_s) and (
            added + spec.deadline_s * 1000 <= self.now
        )

    def check_order(self, offered):
        urgent = [job.spec.job_class is JobClass.URGENT for job in offered]
        assert urgent == sorted(urgent, reverse=True)
        for team in 'abc':
            keys = [
                (
                    CLASS_ORDER[job.spec.job_class],
                    -job.spec.priority,
                    job.expires_at,
                    job.queued_at,
                )
                for job in offered
                if job.spec.team == team
            ]
            assert keys == sorted(keys)


QueueMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestQueueMachine = QueueMachine.TestCase


def test_started_jobs_are_proportional_to_team_weights():
    queue = JobQueue([Team('a', 3), Team('b', 1)])
    for number in range(400):
        queue.add(f'a{number}', make_spec(team='a'), 0)
        queue.add(f'b{number}', make_spec(team='b'), 0)
    offered = []
    for job, _ in zip(queue.begin_pass(0), range(200), strict=False):
        queue.remove(job.job_id)
        offered.append(job.spec.team)
    assert 148 <= offered.count('a') <= 152


def test_team_with_reservations_is_offered_after_an_idle_one():
    queue = JobQueue(capacity=Resources(100, 100, 0, 10, 10))
    queue.add('a1', make_spec(team='a'), 0)
    queue.add('b1', make_spec(team='b'), 0)
    reserved = {'a': Resources(50)}
    offered = start_fitting_jobs(queue, reserved=reserved)
    assert [job.job_id for job in offered] == ['b1', 'a1']


def test_refusal_skips_only_jobs_with_equal_or_larger_demand():
    queue = JobQueue()
    for number in range(100):
        demand = Resources(5000 + number, 1024, 0, 1, 1)
        queue.add(f'large{number}', make_spec(demand=demand), 0)
    queue.add('small', make_spec(), 0)
    offered = start_fitting_jobs(
        queue, fits=lambda spec: spec.demand.millicores < 5000
    )
    assert [job.job_id for job in offered] == ['large0', 'small']


def test_refusal_of_one_team_skips_no_jobs_of_other_teams():
    # Other rules may apply to another team with the same demand.
    queue = JobQueue()
    for team in 'abc':
        queue.add(team, make_spec(team=team), 0)
    offered = start_fitting_jobs(queue, fits=lambda spec: spec.team != 'a')
    assert {job.job_id for job in offered} == {'a', 'b', 'c'}


def test_skipped_team_is_offered_again_in_the_next_pass():
    queue = JobQueue()
    queue.add('a1', make_spec(team='a'), 0)
    queue.add('a2', make_spec(team='a', demand=Resources(1, 1)), 0)
    offered = []
    queue_pass = queue.begin_pass(0)
    for job in queue_pass:
        offered.append(job.job_id)
        queue_pass.skip_team('a')
    assert offered == ['a1']
    assert len(start_fitting_jobs(queue)) == 2


def test_number_of_refusals_is_limited_and_the_next_pass_continues():
    # No demand includes another one, so no job is skipped after a refusal.
    queue = JobQueue()
    count = 3 * MAX_REFUSALS
    for number in range(count):
        demand = Resources(5000 + number, 9000 - number)
        queue.add(f'j{number}', make_spec(demand=demand), 0)
    queue.add('last', make_spec(priority=-1), 0)
    seen = []
    for _ in range(4):
        offered = start_fitting_jobs(
            queue, fits=lambda spec: spec.priority < 0
        )
        assert len(offered) <= MAX_REFUSALS + 1
        seen += [job.job_id for job in offered]
    assert 'last' in seen
    assert len(set(seen)) == count + 1


def test_team_with_many_refusals_does_not_use_up_the_pass_of_others():
    queue = JobQueue([Team('a', 100)])
    for number in range(3 * MAX_REFUSALS):
        demand = Resources(5000 + number, 9000 - number)
        queue.add(f'j{number}', make_spec(demand=demand, team='a'), 0)
    queue.add('b', make_spec(team='b'), 0)
    offered = start_fitting_jobs(
        queue,
        fits=lambda spec: spec.team == 'b',
        reserved={'b': Resources(1, 1, 0, 1, 1)},
    )
    assert offered[-1].job_id == 'b'
    assert len(offered) <= MAX_REFUSALS + 1


def test_entries_of_cancelled_jobs_are_deleted():
    queue = JobQueue()
    queue.add('kept', make_spec(), 0)
    for number in range(5000):
        queue.add(f'j{number}', make_spec(deadline_s=900.0), 0)
    for number in range(5000):
        assert queue.remove(f'j{number}')
    assert queue.count_entries() < 500
    assert [job.job_id for job in start_fitting_jobs(queue)] == ['kept']


def test_pass_after_one_that_reached_its_limit_is_not_empty():
    queue = JobQueue()
    for number in range(MAX_REFUSALS):
        demand = Resources(5000 + number, 9000 - number)
        queue.add(f'j{number}', make_spec(demand=demand), 0)
    assert (
        len(start_fitting_jobs(queue, fits=lambda spec: False)) == MAX_REFUSALS
    )
    assert len(start_fitting_jobs(queue)) == MAX_REFUSALS


def test_order_holds_after_the_first_of_equal_jobs_is_cancelled():
    queue = JobQueue()
    queue.add('first', make_spec(priority=5), 0)
    queue.add('last', make_spec(priority=-1), 0)
    queue.add('middle', make_spec(demand=Resources(2, 2)), 0)
    queue.remove('first')
    assert [job.job_id for job in start_fitting_jobs(queue)] == [
        'middle',
        'last',
    ]


def test_jobs_refused_in_an_abandoned_pass_are_offered_in_the_next():
    # When the caller ended a pass early, refused shapes used to stay
    # deferred, and the next pass did not offer a job that fitted by then.
    queue = JobQueue()
    queue.add('large', make_spec(demand=Resources(1, 2)), 0)
    queue.add('small', make_spec(demand=Resources(1, 1)), 0)
    for job in queue.begin_pass(0):
        if job.job_id == 'small':
            break
    assert [job.job_id for job in queue.begin_pass(0)][0] == 'large'
