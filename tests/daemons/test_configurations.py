"""Tests configurations under races and with a store outage during a start.

| test | guarantees of the design page |
| --- | --- |
| operators race | 8 |
| start during a store outage | 8 |
"""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from sassafrasgate.core.cells import Team
from tests.processes import wait_until


def read_configuration(cell, frontend):
    """Return a front end's configuration version and its team names."""
    url = f'{cell.find_url(frontend)}/v1/configuration'
    found = cell.processes.client.get(url).json()
    if 'version' not in found:
        return 0, set()
    return found['version'], {team['name'] for team in found['teams']}


def test_operators_race_through_two_front_ends(start_cell):
    # Guards against two changes of one version that are both accepted, and
    # against a refused change that takes effect.
    cell = start_cell(domains=1, schedulers=1)
    first = cell.make_configuration()
    for version in range(1, 9):
        names = [f'team-{version}-{side}' for side in range(2)]
        wanted = [
            replace(first, teams=(*first.teams, Team(name))) for name in names
        ]
        with ThreadPoolExecutor(2) as pool:
            responses = list(
                pool.map(
                    lambda side, wanted=wanted, version=version: cell.apply(
                        wanted[side], version, f'frontend-{side}'
                    ),
                    range(2),
                )
            )
        statuses = [response.status_code for response in responses]
        assert sorted(statuses) == [200, 412], statuses
        winner = statuses.index(200)
        for reader in cell.urls:
            wait_until(
                lambda reader=reader, version=version: (
                    read_configuration(cell, reader)[0] > version
                ),
                f'{reader} holding the next version',
            )
            held, teams = read_configuration(cell, reader)
            assert held == version + 1
            assert names[winner] in teams
            assert names[1 - winner] not in teams


def read_ready(cell, name):
    """Return the status of a front end's readiness check."""
    url = f'{cell.find_url(name)}/readyz'
    return cell.processes.client.get(url).status_code


def test_start_during_a_store_outage(start_cell):
    # Guards against a process that starts during an outage and serves an
    # older version than its peers.
    cell = start_cell(domains=1, schedulers=2, frontends=1)
    first = cell.make_configuration()
    wanted = replace(first, teams=(*first.teams, Team('newest')))
    assert cell.apply(wanted, 1).status_code == 200
    wait_until(
        lambda: list_versions(cell) == {'scheduler-0': 2, 'scheduler-1': 2},
        'both schedulers holding version 2',
    )
    cell.store.set_faults(down=True)
    cell.schedulers['scheduler-1'].kill()
    for peer in cell.schedulers.values():
        peer.freeze()
    cell.start_frontend('frontend-1')
    # While neither the store nor a peer responds, the process must not serve.
    for _ in range(20):
        assert read_ready(cell, 'frontend-1') == 503
    cell.schedulers['scheduler-0'].resume()
    cell.start_scheduler('scheduler-1')
    wait_until(lambda: read_ready(cell, 'frontend-1') == 200, 'readiness')
    assert read_configuration(cell, 'frontend-1')[0] == 2
    seen = []

    def has_newest():
        seen.append(list_versions(cell).get('scheduler-1', 0))
        return seen[-1] == 2

    wait_until(has_newest, 'the new scheduler holding version 2')
    assert set(seen) <= {0, 2}
    assert cell.find_owner('shard-0') != 'scheduler-1'
    cell.store.set_faults(down=False)
    wait_until(lambda: cell.find_owner('shard-0') != '', 'an owner')
    assert list_versions(cell) == {'scheduler-0': 2, 'scheduler-1': 2}


def list_versions(cell):
    """Return the configuration version of each scheduler that replies."""
    url = f'{cell.find_url()}/v1/status'
    status = cell.processes.client.get(url).json()
    return {s['name']: s['configuration'] for s in status['schedulers']}
