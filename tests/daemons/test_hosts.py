"""Tests jobs under faults of workers and of the network to them.

| test | guarantees of the design page |
| --- | --- |
| lost start replies | 1, 2, 5, 9 |
| worker restarted | 1, 2, 5, 9 |
| worker unresponsive, then back | 1, 2, 5, 9 |
| leaving hosts | 6 |
"""

from time import time_ns

from sassafrasgate.core.items import HostStatus
from tests.loads import find_faults
from tests.loads import find_logged_jobs
from tests.loads import Load
from tests.loads import make_job
from tests.loads import make_jobs
from tests.loads import read_tasks
from tests.processes import wait_until

LEAVING_LIMIT_MS = 3_000


def find_running(cell, host):
    """Return the jobs that run on a host."""
    return {
        task.job_id
        for task in read_tasks({host: cell.workers[host]})
        if not task.record.ended_ms
    }


def test_lost_start_replies(start_cell):
    # Guards against a second start of a task when only the reply to its start
    # was lost.
    cell = start_cell()
    load = Load(tuple(cell.urls.values()), make_jobs(150, 5, (50, 600)))
    load.start()
    for count in range(10, 150, 20):
        load.wait_for_accepted(count)
        for worker in cell.workers.values():
            worker.set_faults(lose_replies=2)
    load.finish()
    assert find_faults(load, cell.workers) == []
    assert set(load.states.values()) == {'finished'}


def test_worker_restarts_with_running_tasks(start_cell):
    # Guards against a second run of a non-idempotent job whose attempt was
    # lost in a restart, and against the loss of an idempotent job.
    cell = start_cell()
    load = Load(tuple(cell.urls.values()), make_jobs(60, 6, (800, 1500)))
    load.start()
    wait_until(
        lambda: len(find_running(cell, 'host-0-0')) >= 6, 'a loaded host'
    )
    cell.workers['host-0-0'].set_faults(restart=True)
    load.finish()
    # A start that got no reply before the restart may have run: no later
    # reply of the new incarnation can tell.
    unanswered = frozenset().union(
        *(
            find_logged_jobs(process.read_log(), 'unanswered', 'host-0-0')
            for process in cell.schedulers.values()
        )
    )
    assert (
        find_faults(load, cell.workers, True, possibly_started=unanswered)
        == []
    )
    tasks = read_tasks(cell.workers)
    started = {task.job_id for task in tasks}
    lost = {task.job_id for task in tasks if task.record.outcome == 'lost'}
    lost |= unanswered - started
    for key, job_id in load.accepted.items():
        repeatable = load.jobs[key]['idempotent'] or job_id not in lost
        expected = 'finished' if repeatable else 'unknown'
        assert (key, load.states[key]) == (key, expected)
    kinds = {
        load.jobs[key]['idempotent']
        for key, job_id in load.accepted.items()
        if job_id in lost
    }
    assert kinds == {True, False}


def test_worker_silent_until_its_leases_have_expired(start_cell):
    # Guards against a second attempt before the first has certainly ended.
    cell = start_cell(domains=1, schedulers=1)
    jobs = [
        make_job(f'job-{number}', 11_000, idempotent=number % 2 == 0)
        for number in range(8)
    ]
    load = Load(tuple(cell.urls.values()), jobs).start()
    wait_until(lambda: len(read_tasks(cell.workers)) == 8, 'starting all')
    tasks = read_tasks(cell.workers)
    host = max(cell.workers, key=[task.host for task in tasks].count)
    cell.workers[host].set_faults(silent=True)
    wait_until(
        lambda: len(read_tasks(cell.workers)) > 8, 'a second attempt', 40
    )
    cell.workers[host].set_faults(silent=False)
    load.finish()
    assert find_faults(load, cell.workers, repeats=True) == []
    assert set(load.states.values()) == {'finished', 'unknown'}


def test_leaving_hosts_get_no_new_work(start_cell):
    # Guards against starts on a host that is leaving according to the
    # platform's list, the worker's report or an operator's drain.
    cell = start_cell()
    leaving = ('host-0-0', 'host-0-1', 'host-1-0')
    listed, reporting, drained = leaving
    load = Load(tuple(cell.urls.values()), make_jobs(160, 7, (50, 300)))
    load.start()
    wait_until(
        lambda: (
            {task.host for task in read_tasks(cell.workers)}
            == set(cell.workers)
        ),
        'work on every host',
    )
    cell.store.set_hosts(
        HostStatus(name, name == listed) for name in cell.workers
    )
    cell.workers[reporting].set_faults(leaving=True)
    url = f'{cell.find_url()}/v1/hosts/{drained}/drain'
    assert cell.processes.client.post(url).status_code == 200
    limit_ms = time_ns() // 1_000_000 + LEAVING_LIMIT_MS
    wait_until(lambda: time_ns() // 1_000_000 > limit_ms, 'the limit')
    refused = cell.workers[reporting].read_record().refusals.get('leaving', 0)
    load.finish()
    tasks = read_tasks(cell.workers)
    late = [task for task in tasks if task.record.started_ms > limit_ms]
    assert {task.host for task in late} == {'host-1-1'}
    # A worker that reports that it is leaving refuses starts. A higher count
    # of refusals would show that starts were still sent to it.
    refusals = cell.workers[reporting].read_record().refusals
    assert refusals.get('leaving', 0) == refused
    assert find_faults(load, cell.workers) == []


def test_new_owner_starts_nothing_on_a_leaving_host(start_cell):
    # Guards against starts on a leaving host after a takeover, by an owner
    # that had no shard before and therefore has not read the platform's list.
    cell = start_cell(domains=1, schedulers=2)
    owner = cell.find_owner('shard-0')
    cell.store.set_hosts(
        HostStatus(name, name == 'host-0-0') for name in cell.workers
    )
    limit_ms = time_ns() // 1_000_000 + LEAVING_LIMIT_MS
    wait_until(lambda: time_ns() // 1_000_000 > limit_ms, 'the limit')
    # More jobs than the other host has slots, so that some are queued when
    # the new owner begins.
    load = Load(tuple(cell.urls.values()), make_jobs(60, 8, (800, 1500)))
    load.start().wait_for_accepted(30)
    cell.schedulers[owner].kill()
    load.finish()
    assert cell.find_owner('shard-0') not in ('', owner)
    late = [
        task.record.started_ms - limit_ms
        for task in read_tasks(cell.workers)
        if task.host == 'host-0-0' and task.record.started_ms > limit_ms
    ]
    assert late == []
