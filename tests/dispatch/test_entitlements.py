"""Tests of the rate of jobs to which a tenant is entitled."""

from dataclasses import replace

from sassafrasgate.core.resources import Resources
from sassafrasgate.core.tenants import Tenant
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.dispatch.entitlements import BURST_S
from sassafrasgate.dispatch.entitlements import is_surplus
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.dispatch.policies import MAX_PROMOTION_MS
from sassafrasgate.dispatch.policies import PATIENCE_MS
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.shards.events import RequestReceived
from tests.dispatch.drivers import Driver
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import TABLE
from tests.dispatch.simulation import WALL_MS

WEIGHT = 2.0
STEP = make_step()


class TenantDriver(Driver):
    """An owner whose table has one tenant."""

    def _learn_settings(self):
        super()._learn_settings()
        tenants = (Tenant('t', (), WEIGHT),)
        self.feed(TableChanged(replace(TABLE, version=2, tenants=tenants)))

    def submit_at_rate(self, jobs, interval_ms, step=STEP):
        """Submit jobs at a fixed interval; return how many are surplus."""
        begin = len(self.state.jobs)
        for number in range(begin, begin + jobs):
            self.now += interval_ms
            workflow = Workflow('', (step,))
            message = SubmitWorkflow(f'{number:016x}', 'q', 1, workflow, 't')
            self.feed(RequestReceived(1, message, WALL_MS + self.now))
        entries = list(self.state.jobs.values())[begin:]
        return sum(entry.surplus for entry in entries)


def test_jobs_at_the_weight_are_entitled():
    # Guards against a steady tenant whose jobs are taken for surplus.
    driver = TenantDriver()
    assert driver.submit_at_rate(60, 500) == 0


def test_jobs_beyond_the_weight_are_surplus_after_a_burst():
    # Guards against a tenant that is owed all that it sends.
    driver = TenantDriver()
    surplus = driver.submit_at_rate(80, 125)
    assert 80 - surplus <= WEIGHT * (BURST_S + 80 * 0.125) + 1


def test_surplus_does_not_delay_later_entitled_jobs():
    # Guards against a tenant that pays for a burst after it has ended.
    driver = TenantDriver()
    driver.submit_at_rate(200, 10)
    assert is_surplus(driver.state, 't', WALL_MS + driver.now)
    assert not is_surplus(driver.state, 't', WALL_MS + driver.now + 1_000)


def test_jobs_without_a_tenant_are_not_surplus():
    # Guards against a limit in a cell that has none.
    driver = Driver()
    for number in range(100):
        driver.submit(f'{number:016x}', make_step())
    assert not any(job.surplus for job in driver.state.jobs.values())


def test_steps_that_never_fit_do_not_stay_first():
    # Guards against a step that is placed first for ever, and so keeps others
    # that have waited for long from it.
    driver = TenantDriver()
    too_large = make_step(demand=Resources(10**6, 0))
    driver.submit_at_rate(3, 0, too_large)
    driver.wait(PATIENCE_MS)
    promoted = set()
    for _ in range(3):
        promoted.add(driver.state.promoted_step)
        driver.wait(MAX_PROMOTION_MS)
    assert len(promoted) == 3
