"""Replays of generated load against the decision core, in virtual time.

Quick jobs come beside large and middle ones; callers that are refused return
at the time that they were told. What each caller has got out of its job is
counted from its first attempt.
"""

from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count
from math import ceil
from random import Random

from sassafrasgate.core.resources import Resources
from sassafrasgate.core.routing import Pool
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.core.tenants import Tenant
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.events import JournalStalled
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.protocol.workflows import WorkflowView
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.events import RequestReceived
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import WALL_MS

CAPACITY = Resources(16_000, 64_000)
TICK_MS = 100
REPORT_MS = 1_000
START_MS = 10
MAX_RETRIES = 4
# A job that completes late is worth this share of one in time.
LATE_WORTH = 0.2
VALUE_LIMIT_FACTOR = 3


@dataclass(frozen=True)
class JobClass:
    """Jobs of one queue."""

    queue: Queue
    per_s: float
    tasks: int
    task_ms: int
    millicores: int


QUICK = JobClass(
    Queue('quick', 'h', '/u/', 'p', 0, 3, 1.5, 300, 3000), 4, 3, 1_000, 2_500
)
LARGE = JobClass(
    Queue('large', 'h', '/l/', 'p', 1, 3, 2.2, 1000, 3000),
    0.35,
    6,
    6_200,
    4_500,
)
MIDDLE = JobClass(
    Queue('middle', 'h', '/m/', 'p', 2, 3, 4.0, 3000, 3000),
    1.5,
    8,
    3_400,
    1_700,
)
CLASSES = (QUICK, LARGE, MIDDLE)
TENANTS = tuple(Tenant(f't{number}') for number in range(4))


@dataclass
class Call:
    """A caller's job, and what has become of it."""

    job_id: str
    job_class: JobClass
    tenant: str
    sent_at: int
    tasks: int
    task_ms: int
    accepted_at: int = 0
    ended_at: int = 0
    refusals: list = field(default_factory=list)
    early_returns: int = 0

    @property
    def objective_ms(self):
        """Time in which the job is worth most."""
        queue = self.job_class.queue
        return int(queue.stretch * self.task_ms) + queue.target_latency_ms

    @property
    def worth(self):
        """Worth of the job to its caller, in core-milliseconds of its work."""
        work = self.tasks * self.task_ms * self.job_class.millicores / 1_000
        if not self.ended_at:
            return 0.0
        took_ms = self.ended_at - self.sent_at
        if took_ms <= self.objective_ms:
            return work
        late = took_ms <= VALUE_LIMIT_FACTOR * self.objective_ms
        return LATE_WORTH * work if late else 0.0

    @property
    def full_worth(self):
        """Worth of the job if it completes in time."""
        return self.tasks * self.task_ms * self.job_class.millicores / 1_000


class LoadReplay:
    """Plays calls with rates that the test chooses, second by second.

    Parameters
    ----------
    rates : list of float
        Multiples of the usual rates of all classes, for each second.
    quick_rates : list of float
        The same for quick jobs; empty for ``rates``.
    hot_tenant : float
        Multiple of the first tenant's rate; 0 for a cell without tenants.
    admits_all : bool
        Whether the prediction is left out, as the baseline.
    """

    def __init__(
        self,
        rates,
        quick_rates=(),
        seed=1,
        workers=12,
        hot_tenant=0.0,
        admits_all=False,
        tail_s=12,
    ):
        self.seed = seed
        self.random = Random(seed)
        self.admits_all = admits_all
        self.driver = Driver(workers, CAPACITY)
        self.driver.state.manages_overload = True
        self.hot_tenant = hot_tenant
        self.table = RoutingTable(
            2,
            tuple(job_class.queue for job_class in CLASSES),
            (Pool('p'),),
            TENANTS if hot_tenant else None,
        )
        self.driver.feed(TableChanged(self.table))
        self.calls = {}
        self.tokens = {}
        self.ends_at = {}
        self.started_jobs = set()
        self.events = []
        self._numbers = count(1)
        self.began = self.driver.now
        self.end = self.began + (len(rates) + tail_s) * 1_000
        for job_class in CLASSES:
            own = quick_rates if job_class is QUICK and quick_rates else rates
            self._plan(job_class, own)
        for at in range(self.began, self.end, TICK_MS):
            self._at(at, self._tick)
        for at in range(self.began, self.end, REPORT_MS):
            self._at(at, self._report)

    def _plan(self, job_class, rates):
        for second, rate in enumerate(rates):
            at = second * 1_000.0
            while True:
                at += self.random.expovariate(job_class.per_s * rate) * 1_000
                if at >= (second + 1) * 1_000:
                    break
                self._plan_call(job_class, self.began + int(at))

    def _plan_call(self, job_class, at):
        number = next(self._numbers)
        tenant = self._draw_tenant()
        call = Call(
            f'{number:016x}',
            job_class,
            tenant,
            at,
            max(1, round(job_class.tasks * self.random.uniform(0.4, 1.6))),
            int(job_class.task_ms * self.random.uniform(0.5, 1.5)),
        )
        self.calls[call.job_id] = call
        self._at(at, self._send, call)

    def _draw_tenant(self):
        if not self.hot_tenant:
            return ''
        weights = [self.hot_tenant, *[1.0] * (len(TENANTS) - 1)]
        return self.random.choices(TENANTS, weights)[0].name

    def _at(self, at, function, *arguments):
        heappush(self.events, (at, next(self._numbers), function, arguments))

    def stop_store(self, second, duration_s):
        """Let the journal fail for some seconds."""
        at = self.began + int(second * 1_000)
        self._at(at, self._stall, at)
        self._at(at + int(duration_s * 1_000), self._end_stall)

    def _stall(self, since):
        self.driver.is_durable = False
        self._carry_out(self.driver.feed(JournalStalled(since)))

    def _end_stall(self):
        self.driver.write_records()
        self._carry_out(self.driver.feed(JournalStalled(0)))

    def replace_owner(self, second):
        """Let another owner take over; it reads the journal's records."""
        self._at(self.began + second * 1_000, self._take_over)

    def _take_over(self):
        self.driver.replace_owner(snapshot=False)
        self.driver.feed(TableChanged(self.table))
        self._report()

    def run(self):
        """Play all events."""
        while self.events and self.events[0][0] < self.end:
            at, _, function, arguments = heappop(self.events)
            self.driver.now = max(self.driver.now, at)
            function(*arguments)
        return self

    def _tick(self):
        self._carry_out(self.driver.wait(0))

    def _report(self):
        for worker in self.driver.running:
            self._update_progress(worker)
            self._carry_out(self.driver.report(worker))

    def _update_progress(self, worker):
        runs = self.driver.running[worker]
        for run in runs:
            ends_at, work_ms = self.ends_at[worker, run]
            left_ms = max(0, ends_at - self.driver.now)
            runs[run] = min(99, 100 - left_ms * 100 // work_ms)

    def _send(self, call):
        if call.accepted_at:
            return
        if self.admits_all:
            self.driver.state.backlogs.clear()
        token = next(self._numbers)
        self.tokens[token] = call
        step = make_step(
            call.tasks,
            call.task_ms,
            demand=Resources(call.job_class.millicores, 1_000),
        )
        message = SubmitWorkflow(
            call.job_id,
            call.job_class.queue.name,
            2,
            Workflow('', (step,)),
            call.tenant,
        )
        now = self.driver.now
        event = RequestReceived(token, message, WALL_MS + now)
        self._carry_out(self.driver.feed(event))

    def _carry_out(self, actions):
        for start in select_actions(actions, StartRun):
            self.started_jobs.add(start.run.task.partition('.')[0])
            call = self.calls[start.run.task.partition('.')[0]]
            self._at(self.driver.now + START_MS, self._begin, start)
            spread = Random(f'{self.seed} {start.run.task}')
            work_ms = int(call.task_ms * spread.uniform(0.7, 1.4))
            ends_at = self.driver.now + START_MS + work_ms
            self.ends_at[start.worker, start.run] = (ends_at, work_ms)
            self._at(ends_at, self._finish, start)
        for reply in select_actions(actions, Reply):
            self._receive(reply.reply_to, reply.message)

    def _begin(self, start):
        self.driver.confirm_runs(((start.worker, start.run),))

    def _finish(self, start):
        if start.run not in self.driver.running[start.worker]:
            return
        self._update_progress(start.worker)
        self._carry_out(self.driver.finish(start))
        call = self.calls[start.run.task.partition('.')[0]]
        job = self.driver.state.jobs.get(call.job_id)
        ended = job is not None and job.state is WorkflowState.COMPLETED
        if ended and not call.ended_at:
            call.ended_at = self.driver.now

    def _receive(self, token, message):
        call = self.tokens.pop(token, None)
        if call is None:
            return
        if isinstance(message, WorkflowView):
            call.accepted_at = self.driver.now
            return
        assert isinstance(message, Refused)
        call.refusals.append((self.driver.now, message))
        if len(call.refusals) > MAX_RETRIES:
            return
        wait_s = max(1, ceil(message.retry_after_ms / 1_000))
        self._at(self.driver.now + wait_s * 1_000, self._send, call)

    def find_share(self, job_class=None, tenant=None, begin_s=0, end_s=1_000):
        """Return the worth of some jobs, as a share of what was possible."""
        calls = [
            call
            for call in self.calls.values()
            if job_class in (None, call.job_class)
            and tenant in (None, call.tenant)
            and begin_s * 1_000 <= call.sent_at - self.began < end_s * 1_000
        ]
        full = sum(call.full_worth for call in calls)
        return sum(call.worth for call in calls) / full if full else 1.0

    def count_useless(self):
        """Return the number of accepted jobs that were of no use."""
        return sum(
            bool(call.accepted_at) and not call.worth
            for call in self.calls.values()
        )

    def count_refused(self):
        """Return the number of jobs that were refused at least once."""
        return sum(bool(call.refusals) for call in self.calls.values())
