"""Guards work against a store that is down or loses replies.

| test | promises of the design page |
| --- | --- |
| store outage | 2, 4, 5, 9 |
"""

from concurrent.futures import ThreadPoolExecutor
from time import monotonic

from tests.loads import find_faults
from tests.loads import Load
from tests.loads import make_job
from tests.loads import make_jobs
from tests.loads import QuickCalls
from tests.loads import read_tasks
from tests.processes import wait_until

# Longer than the owner's lease of 3 s and than a task's lease of 10 s.
OUTAGE_S = 11.0


def test_store_outage_longer_than_leases(start_cell):
    # Guards against lapsed tasks, and against "not run" for work that runs.
    cell = start_cell(outage_grace_s=30.0)
    urls = tuple(cell.urls.values())
    load = Load(urls, make_jobs(12, 3, (13_000, 14_000), 'long')).start()
    load.wait_for_accepted(12)
    wait_until(
        lambda: len(read_tasks(cell.workers)) == 12, 'starting all long jobs'
    )
    quick = [QuickCalls(cell.find_url) for _ in range(2)]
    down_at = monotonic()
    cell.store.set_faults(down=True)
    late = [make_job(f'late-{number}') for number in range(8)]
    with ThreadPoolExecutor(len(late)) as pool:
        answers = list(pool.map(lambda job: cell.submit('', **job), late))
    wait_until(lambda: monotonic() - down_at > OUTAGE_S, 'the outage')
    up_at = monotonic()
    cell.store.set_faults(down=False)
    calls = [call for caller in quick for call in caller.stop()]
    load.finish()
    faults = [fault for sent, fault in calls if sent < up_at - 1 and fault]
    assert faults == []
    assert len([sent for sent, _ in calls if sent > down_at + 5]) > 50
    assert find_faults(load, cell.workers) == []
    assert set(load.states.values()) == {'finished'}
    started = {task.job_id for task in read_tasks(cell.workers)}
    for answer in answers:
        view = answer.json()
        assert answer.status_code >= 500 and view['state'] in (
            'not-run',
            'unknown',
        ), view
        assert view['state'] == 'unknown' or view['job_id'] not in started
