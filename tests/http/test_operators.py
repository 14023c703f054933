"""Guards operators against taking a partial answer for a whole one."""

import pytest

from sassafrasgate.core.errors import NoAnswer
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.resources import NOTHING
from sassafrasgate.protocol.messages import HostList
from sassafrasgate.protocol.messages import HostView
from sassafrasgate.protocol.messages import JobList
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import StatusReply

pytestmark = pytest.mark.anyio

HOST = HostView('h1', 'd1', 'r1', 'up', NOTHING, NOTHING, NOTHING, 0, 's1', 2)


async def test_hosts_of_a_silent_shard_are_marked_as_missing(gateway, client):
    async def answer(message):
        if message.shard == 's1':
            return HostList((HOST,))
        return NoAnswer('link closed')

    gateway.answer = answer
    reply = (await client.get('/v1/hosts')).json()
    assert [host['name'] for host in reply['hosts']] == ['h1']
    assert reply['partial'] is True
    assert reply['missing'] == {'s2': 'link closed'}


async def test_jobs_of_all_shards_are_whole(gateway, client):
    gateway.answer = JobList((JobView('j', JobState.QUEUED, 'no room'),))
    reply = (await client.get('/v1/jobs?state=queued&limit=5')).json()
    assert len(reply['jobs']) == 2
    assert reply['partial'] is False
    assert {message.shard for message in gateway.asked} == {'s1', 's2'}
    assert {message.limit for message in gateway.asked} == {5}


@pytest.mark.parametrize('query', ['limit=0', 'limit=x', 'state=done'])
async def test_bad_filter_is_refused(client, query):
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
    assert [reply['name'] for reply in status['schedulers']] == [
        'new',
        'stale',
    ]
