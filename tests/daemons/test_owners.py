"""Tests jobs under the loss of the process that owns their shard.

| test | guarantees of the design page |
| --- | --- |
| owner killed | 1, 2, 5, 9 |
| owner frozen | 1, 2, 5, 9 |
"""

from time import time_ns

from tests.loads import find_faults
from tests.loads import Load
from tests.loads import make_jobs
from tests.loads import QuickCalls
from tests.loads import read_tasks
from tests.processes import wait_until


def make_mixed_jobs(seed):
    """Return jobs, some of which run for longer than a takeover of 4 s."""
    long = make_jobs(20, seed, (6000, 8000), 'long')
    return long + make_jobs(180, seed + 1, (50, 1000))


def test_owner_killed_under_load(start_cell):
    # Guards against jobs that are lost or run twice when an owner is killed.
    cell = start_cell()
    owner = cell.find_owner('shard-0')
    load = Load(tuple(cell.urls.values()), make_mixed_jobs(1))
    load.start().wait_for_accepted(60)
    cell.schedulers[owner].kill()
    load.finish()
    assert cell.find_owner('shard-0') not in ('', owner)
    assert find_faults(load, cell.workers) == []
    assert set(load.states.values()) == {'finished'}
    assert len(load.accepted) == 200


def read_epochs(cell, owner):
    """Return a scheduler's epochs by shard, or None if it does not reply."""
    status = cell.processes.client.get(f'{cell.find_url()}/v1/status').json()
    found = [s for s in status['schedulers'] if s['name'] == owner]
    return found[0]['shards'] if found else None


def test_owner_frozen_beyond_takeover(start_cell):
    # Guards against commands of an owner that resumes after its lease has
    # expired. The hosts have spare capacity, so that the frozen owner has jobs
    # to place as well.
    cell = start_cell(slots=32, millicores=32_000)
    owner = cell.find_owner('shard-0')
    stale = read_epochs(cell, owner)['shard-0']
    load = Load(tuple(cell.urls.values()), make_mixed_jobs(2))
    # A slow store keeps appends in flight, and quick requests wait in the
    # sockets of the frozen process. Both give it starts to send when it
    # resumes.
    cell.store.set_faults(delay_ms=150)
    quick = [QuickCalls(cell.find_url) for _ in range(4)]
    load.start().wait_for_accepted(60)
    cell.schedulers[owner].freeze()
    cell.store.set_faults(delay_ms=0)
    wait_until(
        lambda: cell.find_owner('shard-0') not in ('', owner), 'a takeover'
    )
    resumed_ms = time_ns() // 1_000_000
    cell.schedulers[owner].resume()
    wait_until(
        lambda: (
            (epochs := read_epochs(cell, owner)) is not None
            and epochs.get('shard-0') != stale
        ),
        'the stale owner dropping its shard',
    )
    load.finish()
    for calls in quick:
        calls.stop()
    late = [
        task
        for task in read_tasks(cell.workers)
        if task.record.shard == 'shard-0'
        and task.record.epoch <= stale
        and task.record.started_ms > resumed_ms
    ]
    assert late == []
    assert find_faults(load, cell.workers) == []
    assert set(load.states.values()) == {'finished'}
