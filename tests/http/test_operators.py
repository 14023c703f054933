"""Guards operators against lost changes and unmarked partial lists."""

from types import SimpleNamespace

import pytest

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.http import configurations
from sassafrasgate.protocol.messages import HostList
from sassafrasgate.protocol.messages import HostView
from sassafrasgate.protocol.messages import JobList
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import StatusReply
from tests.http.gateways import HOST

pytestmark = pytest.mark.anyio

VIEW = HostView(
    'h1',
    'd1',
    'r1',
    'up',
    NO_RESOURCES,
    NO_RESOURCES,
    NO_RESOURCES,
    0,
    's1',
    2,
)


@pytest.fixture(autouse=True)
def no_retry_delay(monkeypatch):
    monkeypatch.setattr(configurations, 'INITIAL_RETRY_DELAY_S', 0.0)


async def test_put_with_the_etag_of_a_get_replaces_that_version(
    gateway, client
):
    shown = await client.get('/v1/configuration')
    changed = {**shown.json(), 'cell': 'renamed'}
    headers = {'If-Match': shown.headers['etag']}
    response = await client.put(
        '/v1/configuration', json=changed, headers=headers
    )
    assert (response.status_code, response.headers['etag']) == (200, '"4"')
    assert gateway.current.cell == 'renamed'
    assert gateway.current.hosts == (HOST,)


@pytest.mark.parametrize(
    ('headers', 'body', 'status', 'name'),
    [
        ({}, {}, 428, 'version-required'),
        ({'If-Match': '"2"'}, {}, 412, 'version-changed'),
        ({'If-Match': '*'}, {}, 400, 'invalid'),
        ({'If-Match': '"3"'}, {'version': 2}, 400, 'invalid'),
        ({'If-Match': '"3"'}, {'hosts': [{'name': 'h'}]}, 400, 'invalid'),
        ({'If-Match': '"3"'}, {'teams': [{'name': 't', 'wait': 1}]}, 400, ''),
    ],
)
async def test_invalid_change_is_refused_and_changes_nothing(
    gateway, client, headers, body, status, name
):
    before = gateway.current
    response = await client.put(
        '/v1/configuration', json=body, headers=headers
    )
    assert response.status_code == status
    assert name in response.json()['type']
    assert gateway.current == before


async def test_dry_run_shows_the_difference_and_changes_nothing(
    gateway, client, monkeypatch
):
    module = SimpleNamespace(
        diff_configurations=lambda old, new: (f'{old.cell} -> {new.cell}',)
    )
    monkeypatch.setattr(configurations, 'import_module', lambda name: module)
    before = gateway.current
    response = await client.put(
        '/v1/configuration?dry_run=true',
        json={'cell': 'other'},
        headers={'If-Match': '"3"'},
    )
    assert response.json()['diff'] == ['cell -> other']
    assert gateway.current is before


async def test_drain_is_retried_after_conflicts(gateway, client):
    gateway.conflicts_left = 3
    response = await client.post('/v1/hosts/h1/drain')
    assert (response.status_code, response.json()['version']) == (200, 7)
    assert gateway.current.hosts[0].drained
    await client.post('/v1/hosts/h1/restore')
    assert not gateway.current.hosts[0].drained


async def test_drain_fails_after_a_limited_number_of_conflicts(
    gateway, client
):
    gateway.conflicts_left = 99
    response = await client.post('/v1/hosts/h1/drain')
    assert response.status_code == 412
    assert response.json()['version'] == gateway.current.version
    assert gateway.conflicts_left == 99 - configurations.MAX_DRAIN_ATTEMPTS


@pytest.mark.parametrize(
    ('reply', 'status'),
    [
        (NoReply('store is silent'), 504),
        (Refusal(RefusalKind.STORE_UNAVAILABLE, 'down', 'wait'), 503),
    ],
)
async def test_drain_is_not_retried_after_other_failures(
    gateway, client, monkeypatch, reply, status
):
    calls = []

    async def publish(configuration, expected_version):
        calls.append(expected_version)
        return reply

    monkeypatch.setattr(gateway, 'publish', publish)
    response = await client.post('/v1/hosts/h1/drain')
    assert (response.status_code, calls) == (status, [3])
    response = await client.post('/v1/hosts/h9/drain')
    assert (response.status_code, calls) == (404, [3])


async def test_list_of_hosts_names_shards_without_a_reply(gateway, client):
    async def make_reply(message):
        if message.shard == 's1':
            return HostList((VIEW,))
        return NoReply('link closed')

    gateway.reply = make_reply
    response = (await client.get('/v1/hosts')).json()
    assert [host['name'] for host in response['hosts']] == ['h1']
    assert response['partial'] is True
    assert response['missing'] == {'s2': 'link closed'}


async def test_list_of_jobs_includes_all_shards(gateway, client):
    gateway.reply = JobList((JobView('j', JobState.QUEUED, 'no room'),))
    response = (await client.get('/v1/jobs?state=queued&limit=5')).json()
    assert len(response['jobs']) == 2
    assert response['partial'] is False
    assert {message.shard for message in gateway.messages} == {'s1', 's2'}
    assert {message.limit for message in gateway.messages} == {5}


@pytest.mark.parametrize('query', ['limit=0', 'limit=x', 'state=done'])
async def test_invalid_filter_is_refused(client, query):
    assert (await client.get(f'/v1/jobs?{query}')).status_code == 400


async def test_owner_with_the_highest_epoch_is_shown(gateway, client):
    gateway.status = (
        StatusReply('new', 3, {'s1': 8}),
        StatusReply('stale', 3, {'s1': 7}),
    )
    shards = (await client.get('/v1/shards')).json()['shards']
    assert [(shard['owner'], shard['epoch']) for shard in shards] == [
        ('new', 8),
        ('', 0),
    ]
    status = (await client.get('/v1/status')).json()
    assert [scheduler['name'] for scheduler in status['schedulers']] == [
        'new',
        'stale',
    ]
