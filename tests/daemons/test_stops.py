"""Tests that callers are served through planned stops and takeovers.

| test | guarantees of the design page |
| --- | --- |
| scheduler stopped | 3, 7, 9 |
| front end stopped | 3, 7 |
| stop during a takeover | 2, 5, 7, 9 |
"""

from concurrent.futures import ThreadPoolExecutor
from signal import SIGTERM

from tests.loads import find_faults
from tests.loads import Load
from tests.loads import make_job
from tests.loads import make_jobs
from tests.loads import QuickCalls
from tests.loads import read_tasks
from tests.processes import wait_until

STOP_LIMIT_S = 30.0


def stop_twice(process):
    """Send SIGTERM twice in a row and return the exit status."""
    process.send_signal(SIGTERM)
    return process.terminate(STOP_LIMIT_S)


def test_scheduler_stopped_under_load(start_cell):
    # Guards against requests that a planned stop interrupts. The capacity
    # suffices for the whole load, so that no quick request is refused.
    cell = start_cell(slots=40, millicores=40_000)
    owner = cell.find_owner('shard-0')
    load = Load(tuple(cell.urls.values()), make_jobs(120, 8, (50, 1500)))
    quick = [QuickCalls(cell.find_url, 300) for _ in range(4)]
    load.start().wait_for_accepted(50)
    assert stop_twice(cell.schedulers[owner]) == 0
    load.finish()
    calls = [call for caller in quick for call in caller.stop()]
    assert [fault for _, fault in calls if fault] == []
    assert find_faults(load, cell.workers) == []
    assert set(load.states.values()) == {'finished'}


def test_front_end_stopped_with_open_requests(start_cell):
    # Guards against open requests that a planned stop interrupts.
    cell = start_cell(schedulers=1)
    quick = QuickCalls(cell.find_url, 2500)
    keys = [f'open-{number}' for number in range(8)]
    job = cell.submit('frontend-0', **make_job('waiting', 3000))
    url = f'{cell.find_url()}/v1/jobs/{job.json()["job_id"]}'
    with ThreadPoolExecutor(len(keys) + 1) as pool:
        waiting = pool.submit(
            cell.processes.client.get, url, params={'wait': 8}
        )
        responses = [pool.submit(quick.call, key) for key in keys]
        wait_until(
            lambda: len(read_tasks(cell.workers)) >= len(keys) + 2,
            'starting all requests',
        )
        status = stop_twice(cell.frontends['frontend-0'])
        assert [response.result() for response in responses] == [
            f'output of {key}' for key in keys
        ]
        assert waiting.result().json()['state'] == 'finished'
    assert status == 0
    first = quick.stop()[0]
    assert first[1] == ''


def test_scheduler_stopped_during_a_takeover(start_cell):
    # Guards against jobs that are lost when the owner is killed and its
    # successor is stopped during the takeover.
    cell = start_cell(schedulers=3)
    owner = cell.find_owner('shard-0')
    load = Load(tuple(cell.urls.values()), make_jobs(120, 9, (50, 1500)))
    load.start().wait_for_accepted(50)
    cell.schedulers[owner].kill()
    # The process to stop is the successor of the killed owner.
    wait_until(
        lambda: cell.find_owner('shard-0') not in ('', owner), 'a takeover'
    )
    successor = cell.find_owner('shard-0')
    assert stop_twice(cell.schedulers[successor]) == 0
    load.finish()
    assert find_faults(load, cell.workers) == []
    assert set(load.states.values()) == {'finished'}
