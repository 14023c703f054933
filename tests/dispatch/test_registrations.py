"""Guards what a worker's entry in the store changes for the dispatcher."""

from dataclasses import replace

from sassafrasgate.dispatch.actions import WatchWorker
from sassafrasgate.dispatch.events import WorkerRegistered
from sassafrasgate.dispatch.leases import make_fencing_token
from sassafrasgate.dispatch.leases import RESTARTS_PER_WATCH
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import pick


def test_a_worker_at_a_new_address_is_commanded_with_a_higher_fence():
    # Found by walk 5275: the worker had obeyed a call for its second life;
    # after its entry had changed, calls began with the first life again, and
    # the owner took the refusal for that of a newer owner and gave up.
    driver = Driver(workers=1)
    entry = driver.state.workers['w0'].registration
    watches = pick(driver.actions, WatchWorker)
    for number in range(3):
        moved = replace(entry, address=f'10.0.1.{number}:1')
        actions = driver.feed(WorkerRegistered(moved))
        watches.extend(pick(actions, WatchWorker))

    fences = [make_fencing_token(1, watch.restarts) for watch in watches]
    assert fences == sorted(set(fences))
    assert fences[1] > make_fencing_token(1, RESTARTS_PER_WATCH - 1)
    assert fences[-1] < make_fencing_token(2, 0)


def test_what_earlier_calls_have_granted_is_counted_with_at_a_new_address():
    # Guards against a second run while the first one's lease goes on.
    driver = Driver(workers=1)
    entry = driver.state.workers['w0'].registration
    before = driver.state.workers['w0'].leases_expire_at
    driver.now += 1_000
    driver.feed(WorkerRegistered(replace(entry, address='10.0.1.9:1')))
    after = driver.state.workers['w0'].leases_expire_at
    assert after > max(before, driver.now)
