"""Tests work while the store is down or loses replies.

| test | guarantees of the design page |
| --- | --- |
| store outage | 2, 4, 5, 9 |
| lost store replies, jobs | 2, 5, 9 |
| lost store replies, configuration | 8 |
"""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from functools import partial
from time import monotonic

from sassafrasgate.core.cells import Team
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
    # Guards against tasks whose leases expire because of an outage, and
    # against the state "not run" for jobs that run.
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
        responses = list(pool.map(lambda job: cell.submit('', **job), late))
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
    for response in responses:
        view = response.json()
        assert response.status_code >= 500 and view['state'] in (
            'not-run',
            'unknown',
        ), view
        assert view['state'] == 'unknown' or view['job_id'] not in started


def test_lost_store_replies_while_jobs_are_submitted(start_cell):
    # Guards against writing an entry twice, and so running a job twice, after
    # a write that took effect although its reply was lost.
    cell = start_cell()
    load = Load(tuple(cell.urls.values()), make_jobs(150, 4, (50, 400)))
    load.start()
    for count in range(10, 150, 20):
        load.wait_for_accepted(count)
        cell.store.set_faults(lose_replies=3)
    load.finish()
    assert find_faults(load, cell.workers) == []
    assert set(load.states.values()) == {'finished'}


def test_lost_store_replies_while_a_configuration_is_applied(start_cell):
    # Guards against an accepted version that is lost, repeated or reverted.
    cell = start_cell(domains=1, schedulers=1)
    first = cell.make_configuration()
    for number in range(8):
        name = f'team-{number}'
        wanted = replace(first, teams=(*first.teams, Team(name)))
        cell.store.set_faults(lose_replies=1 + number % 3)
        frontend = f'frontend-{number % 2}'
        version = number + 1
        # A conflict shows that an earlier attempt took effect.
        wait_until(
            partial(try_apply, cell, wanted, version, frontend),
            f'applying version {version + 1}',
        )
        for reader in cell.urls:
            wait_until(
                partial(holds_team, cell, reader, version + 1, name),
                f'{reader} holding version {version + 1} with {name}',
            )


def try_apply(cell, wanted, version, frontend):
    """Return whether this or an earlier apply of the version has succeeded."""
    status = cell.apply(wanted, version, frontend).status_code
    assert status in (200, 412, 504)
    return status != 504


def holds_team(cell, frontend, version, team):
    """Return whether a front end has the version, which includes the team."""
    url = f'{cell.find_url(frontend)}/v1/configuration'
    found = cell.processes.client.get(url).json()
    if found['version'] < version:
        return False
    teams = [entry['name'] for entry in found['teams']]
    assert (found['version'], team in teams) == (version, True)
    return True
