"""Tests jobs under two simultaneous failures.

| test | guarantees of the design page |
| --- | --- |
| owner frozen while the store is down | 1, 2, 5, 9 |
| worker and owner killed together | 1, 2, 5, 9 |
| front end killed after the acceptance | 5, 9 |
"""

from time import monotonic

from tests.loads import find_faults
from tests.loads import find_logged_jobs
from tests.loads import Load
from tests.loads import make_job
from tests.loads import make_jobs
from tests.loads import read_tasks
from tests.processes import wait_until


def test_owner_frozen_while_the_store_is_down(start_cell):
    # Guards against an owner that uses the outage grace although it was
    # frozen itself.
    cell = start_cell()
    owner = cell.find_owner('shard-0')
    jobs = make_jobs(20, 10, (6000, 8000), 'long')
    jobs += make_jobs(100, 11, (50, 800))
    load = Load(tuple(cell.urls.values()), jobs).start()
    load.wait_for_accepted(50)
    cell.store.set_faults(down=True)
    cell.schedulers[owner].freeze()
    since = monotonic()
    # Longer than the owner's lease of 3 s.
    wait_until(lambda: monotonic() - since > 4, 'the lease expiring')
    cell.store.set_faults(down=False)
    wait_until(
        lambda: cell.find_owner('shard-0') not in ('', owner), 'a takeover'
    )
    cell.schedulers[owner].resume()
    load.finish()
    assert find_faults(load, cell.workers) == []
    assert set(load.states.values()) == {'finished'}


def test_worker_and_owner_killed_together(start_cell):
    # Guards against a second attempt while the first may still run, when
    # neither the owner nor the worker responds.
    cell = start_cell(outage_grace_s=1.0)
    owner = cell.find_owner('shard-0')
    load = Load(tuple(cell.urls.values()), make_jobs(40, 12, (1500, 3000)))
    load.start()
    gone = cell.workers['host-0-0']
    wait_until(
        lambda: len(gone.read_record().tasks) >= 6, 'work on the worker'
    )
    cell.schedulers[owner].kill()
    # The stand-in process keeps running, so that its record can be read.
    gone.set_faults(down=True, restart=True)
    load.finish()
    # Killed between a placement and its start, the owner leaves it unknown
    # whether the worker, which has restarted, received the start.
    placed = find_logged_jobs(
        cell.schedulers[owner].read_log(), 'place', 'host-0-0'
    )
    assert find_faults(load, cell.workers, True, possibly_started=placed) == []
    lost = {
        task.job_id
        for task in read_tasks(cell.workers)
        if task.record.outcome == 'lost'
    }
    assert lost
    for key, job_id in load.accepted.items():
        if load.jobs[key]['idempotent']:
            assert (key, load.states[key]) == (key, 'finished')
        elif job_id in lost:
            assert (key, load.states[key]) == (key, 'unknown')


def test_front_end_killed_after_the_acceptance(start_cell):
    # Guards against a second job when a caller repeats a submission through
    # another front end.
    cell = start_cell()
    job = make_job('order', 500, idempotent=False)
    first = cell.submit('frontend-0', **job)
    cell.frontends['frontend-0'].kill()
    second = cell.submit('frontend-1', **job)
    assert (first.status_code, second.status_code) == (202, 200)
    job_id = first.json()['job_id']
    assert second.json()['job_id'] == job_id
    url = f'{cell.find_url("frontend-1")}/v1/jobs/{job_id}'
    view = cell.processes.client.get(url, params={'wait': 8}).json()
    assert view['state'] == 'finished'
    tasks = [task.record.task for task in read_tasks(cell.workers)]
    assert tasks == [f'{job_id}.0.1']
