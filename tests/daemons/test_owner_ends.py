"""Tests of the evidence that an owner's process has ended.

| evidence | holds | taken back by | acted on by |
| --- | --- | --- | --- |
| refused connection | 500 ms | any later sign | a host with a witness |
| newer incarnation | for good | - | a host with a view as new |
| own name | for good | - | the host of that name |
| owner key gone | until the next key | - | any host, by rank |

Only a host with a valid lease acts. Later signs are a message, a connection,
the member key, and a new owner key; a renewed lease shows in an owner key that
outlives the evidence.
"""

from dataclasses import replace

import anyio
from logbook import Logger
from msgspec.json import encode
import pytest

from sassafrasgate.core.items import Item
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.daemons import entry
from sassafrasgate.daemons import owner_probes
from sassafrasgate.daemons.control import ControlChanged
from sassafrasgate.daemons.control import ControlListed
from sassafrasgate.daemons.directory import Directory
from sassafrasgate.daemons.directory import make_owner_key
from sassafrasgate.daemons.dispatcher import DispatcherServices
from sassafrasgate.daemons.election import OwnerElection
from sassafrasgate.daemons.election import SHARD
from sassafrasgate.daemons.entry import EntryTask
from sassafrasgate.daemons.entry_messages import LinkClosed
from sassafrasgate.daemons.leases import LeaseChanged
from sassafrasgate.daemons.leases import make_member_key
from sassafrasgate.daemons.leases import Member
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.protocol.links import LinkServer
from sassafrasgate.protocol.links import OutgoingReply
from sassafrasgate.protocol.messages import Heartbeat
from sassafrasgate.protocol.workflows import FindOwner
from sassafrasgate.protocol.workflows import OwnerFound
from sassafrasgate.shards.ownership import OwnerLease
from tests.daemons.test_entry import StubDispatcher
from tests.daemons.test_entry import StubLink
from tests.journal.test_ring_buffer import MemoryStore
from tests.processes import find_free_address
from tests.relays import Relay

pytestmark = pytest.mark.anyio

ME = Member('e1', 'incarnation-1', 'entry', '127.0.0.1:1', 'z1', 1.0, 10)
OWNER = Member('e2', 'incarnation-2', 'entry', '127.0.0.1:2', 'z1', 1.0, 20)
PEERS = tuple(
    Member(f'e{n}', f'incarnation-{n}', 'entry', f'127.0.0.1:{n}', 'z1')
    for n in (3, 4)
)
REVISION = 9
# Several times the lifetime of evidence, and the interval of claims.
WATCHED_S = 1.5


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class ClaimStore(MemoryStore):
    """A store that holds an owner key and takes swaps with a lease."""

    async def swap(self, key, value, revision, lease='', priority=0):
        return await super().swap(key, value, revision)

    async def create(self, key, value, lease='', priority=0):
        return await super().swap(key, value, 0)


def make_owner_item(member, revision=REVISION):
    return Item(make_owner_key(SHARD), encode(member), revision)


def make_member_item(member, revision):
    return Item(make_member_key(member.name), encode(member), revision)


def make_lease(age_ms=0):
    return OwnerLease(now_ms() - age_ms, ttl_ms=60_000, grace_ms=4_000)


class Host:
    """An entry host's election, with links that give fixed replies.

    Parameters
    ----------
    connected : mapping of str to bool
        What each peer replies on its connection to the owner. The others do
        not reply.
    """

    def __init__(self, connected, members=(ME, OWNER, *PEERS)):
        self.directory = Directory(None, (), lambda: None, lambda _: None)
        self.directory.members = {m.name: m for m in members}
        self.directory.owners[SHARD] = (OWNER, REVISION)
        self.links = {
            peer.link_address: StubLink(
                {
                    FindOwner: OwnerFound(
                        SHARD, encode(OWNER), REVISION, connected[peer.name]
                    )
                }
                if peer.name in connected
                else {}
            )
            for peer in PEERS
        }
        self.owner_link = StubLink({}, silent_ms=50)
        self.owner_link.unconnected_ms = 20
        self.links[OWNER.link_address] = self.owner_link
        self.directory.find_link = self.links.__getitem__
        self.election = OwnerElection(
            ME, ClaimStore(), self.directory, Logger('test')
        )
        self.election.lease = make_lease()

    async def probe(self):
        evidence = await self.election.probe.run()
        if evidence is not None:
            self.election.probe.record_end(evidence)
        return evidence

    @property
    def may_claim(self):
        """Whether a claim is due, whatever this host's rank."""
        self.election._ownerless_since = 1
        return self.election.find_claimable_revision() == REVISION


@pytest.fixture
def refused(monkeypatch):
    async def refuse(_):
        return True

    monkeypatch.setattr(owner_probes, '_is_connection_refused', refuse)


@pytest.mark.parametrize(
    'connected, expected',
    [
        ({'e3': False, 'e4': False}, True),
        ({'e3': False}, True),
        ({'e3': True, 'e4': False}, False),
        ({}, False),
    ],
)
async def test_refused_connection_needs_a_witness(
    refused, connected, expected
):
    # Guards against a host that is cut off by resets and takes the owner,
    # to which others are connected, for ended. It also guards against a slow
    # succession of a killed owner: one witness is enough.
    host = Host(connected)
    assert not host.may_claim
    with anyio.fail_after(0.4):
        evidence = await host.probe()
    assert (evidence is not None) is expected
    assert host.may_claim is expected


async def test_refused_connection_is_enough_without_other_hosts(refused):
    # Guards against a cell of two hosts in which a killed owner is replaced
    # only when its lease expires.
    host = Host({}, (ME, OWNER))
    await host.probe()
    assert host.may_claim


async def test_witness_that_knows_another_owner_does_not_count(refused):
    # Guards against a witness whose view is from before the owner's claim.
    host = Host({'e3': False})
    host.links[PEERS[0].link_address].replies[FindOwner] = OwnerFound(
        SHARD, encode(PEERS[1]), REVISION - 1, False
    )
    await host.probe()
    assert not host.may_claim


async def test_reply_of_an_earlier_release_counts_as_a_witness(refused):
    # Guards against an owner that is not replaced quickly while hosts of two
    # releases run: the earlier one does not say whether it is connected.
    host = Host({'e3': False})
    host.links[PEERS[0].link_address].replies[FindOwner] = OwnerFound(
        SHARD, encode(OWNER), REVISION
    )
    await host.probe()
    assert host.may_claim


async def see_message(host):
    host.owner_link.received_at = now_ms() + 1


async def see_connection(host):
    host.owner_link.unconnected_ms = 0


async def see_member_key(host):
    host.election.probe.record_members(
        ControlChanged((make_member_item(OWNER, 12),))
    )


async def see_member_keys_of_several_hosts(host):
    host.election.probe.record_members(
        ControlChanged(tuple(make_member_item(m, 12) for m in (OWNER, *PEERS)))
    )


async def see_owner_key(host):
    host.directory.apply_control_event(
        ControlChanged((make_owner_item(OWNER, REVISION + 1),))
    )


async def see_renewed_lease(host):
    # The owner key is bound to the lease and has outlived the evidence.
    await anyio.sleep(0.6)


@pytest.mark.parametrize(
    'see',
    [
        see_message,
        see_connection,
        see_member_key,
        see_member_keys_of_several_hosts,
        see_owner_key,
        see_renewed_lease,
    ],
)
async def test_sign_of_life_takes_evidence_back(refused, see):
    # Guards against hosts that replace a living owner for good: evidence of
    # its end was never withdrawn, neither by a message from it nor by its
    # renewed lease nor by its keys.
    host = Host({'e3': False, 'e4': False})
    await host.probe()
    assert host.may_claim
    await see(host)
    host.election._ownerless_since = 1
    assert host.election.find_claimable_revision() is None
    host.election._ownerless_since = 1
    assert host.election.find_claimable_revision() is None


async def test_listed_member_key_of_a_killed_process_is_no_sign(refused):
    # Guards against a slow succession: the keys of a killed process are
    # listed until its lease expires.
    host = Host({'e3': False, 'e4': False})
    await host.probe()
    host.election.probe.record_members(
        ControlListed((make_member_item(OWNER, 5),), 20)
    )
    assert host.may_claim


@pytest.mark.parametrize('revision, expected', [(8, False), (9, True)])
async def test_newer_incarnation_shows_the_end_if_the_view_is_new_enough(
    revision, expected
):
    # Guards against a living owner that is taken for ended because this
    # host's view still has the process that ran before it under its name.
    host = Host({})
    other = replace(OWNER, incarnation='incarnation-9')
    host.directory.members['e2'] = other
    host.directory.revision = revision
    assert host.may_claim is expected


@pytest.mark.parametrize('revision, expected', [(10, False), (11, True)])
async def test_previous_owner_has_ended_only_as_of_the_own_claim(
    revision, expected
):
    # Guards against tasks that start while a previous owner still renews
    # their leases elsewhere: its end was concluded from an older view.
    host = Host({})
    host.directory.owners[SHARD] = (ME, 11)
    host.directory.members['e2'] = replace(OWNER, incarnation='incarnation-9')
    host.directory.revision = revision
    assert host.election.has_ended('e2/incarnation-2') is expected


async def test_owner_learned_from_a_peer_does_not_date_the_members():
    # Guards against a view that counts as new because one key of it is.
    host = Host({})
    item = make_owner_item(PEERS[0], 30)
    host.directory.apply_owner_item(item)
    assert host.election.owner == (PEERS[0], 30)
    assert host.directory.revision == 0


class Switch(Relay):
    """A relay that can reset its connections and refuse new ones."""

    def __init__(self, target):
        super().__init__(target)
        self._scope = None

    async def run(self):
        with anyio.CancelScope() as self._scope:
            await super().run()

    def cut(self):
        self._scope.cancel()


class Network:
    """An owner's link server and a host's way to it."""

    def __init__(self, group):
        self.group = group
        self.server_address = find_free_address()
        self.server = LinkServer(
            self.server_address,
            self._answer,
            lambda: Heartbeat('e2'),
            lambda _: None,
            lambda error: pytest.fail(repr(error)),
        )
        self.switch = Switch(self.server_address)
        self.owner = replace(OWNER, link_address=self.switch.address)

    async def _answer(self, request):
        if request.request_id:
            reply = OwnerFound(SHARD, b'', 0)
            await self.server.reply(
                OutgoingReply(request.client, request.request_id, reply)
            )

    async def open(self):
        self.group.start_soon(self.server.run)
        await self.connect()

    async def connect(self):
        self.switch.ready = anyio.Event()
        self.group.start_soon(self.switch.run)
        await self.switch.ready.wait()


class RunningHost:
    """An entry host's main task with real links and a memory store."""

    def __init__(self, group, owner):
        self.store = ClaimStore()
        self.store.items[make_owner_key(SHARD)] = make_owner_item(owner)
        self.store.revision = REVISION
        self.sender, inbox = anyio.create_memory_object_stream(1000)
        directory = Directory(
            group,
            (),
            lambda: Heartbeat('e1'),
            lambda _: None,
            lambda address: self.sender.send_nowait(LinkClosed(address)),
        )
        services = DispatcherServices(
            *(f'{ME.name}/{ME.incarnation}', ME.name, self.store, self.store),
            *(None, None, None, None, None, None),
            Logger('test'),
            Metrics(),
        )
        self.election = OwnerElection(
            ME, self.store, directory, Logger('test')
        )
        self.task = EntryTask(
            ME,
            services,
            directory,
            self.election,
            inbox,
            None,
            self.sender.send,
        )
        self.directory = directory

    async def start(self, group, owner, *peers):
        members = (ME, owner, *peers)
        items = [make_member_item(m, n) for n, m in enumerate(members, 1)]
        await self.send(
            ControlListed((*items, make_owner_item(owner)), REVISION)
        )
        await self.send(TableChanged(RoutingTable(1)))
        group.start_soon(self.task.run)

    async def send(self, message):
        await self.sender.send(message)

    @property
    def claimed(self):
        item = self.store.items[make_owner_key(SHARD)]
        return item.revision != REVISION


async def wait_for(condition, timeout_s=5.0):
    with anyio.fail_after(timeout_s):
        while not condition():
            await anyio.sleep(0.01)


async def test_owner_taken_for_ended_during_a_cut_keeps_the_shard(
    monkeypatch,
):
    # Guards against hosts that replace living owners without end: a host
    # that was cut off by resets, from the owner and from the store, claimed
    # the shard as soon as it reached the store again.
    monkeypatch.setattr(entry, 'DispatcherTask', StubDispatcher)
    async with anyio.create_task_group() as group:
        network = Network(group)
        await network.open()
        host = RunningHost(group, network.owner)
        await host.start(group, network.owner)
        link = host.directory.find_link(network.owner.link_address)
        await wait_for(lambda: link.counts.received_messages > 0)
        network.switch.cut()
        await anyio.sleep(0.6)
        await network.connect()
        received = link.counts.received_messages
        await wait_for(lambda: link.counts.received_messages > received)
        # The store is in reach again.
        await host.send(LeaseChanged('1', make_lease()))
        await anyio.sleep(WATCHED_S)
        claimed = host.claimed
        group.cancel_scope.cancel()
    assert not claimed


async def test_killed_owner_is_replaced_at_once(monkeypatch):
    # Guards against a succession that waits for the lease of a killed owner.
    monkeypatch.setattr(entry, 'DispatcherTask', StubDispatcher)
    async with anyio.create_task_group() as group:
        network = Network(group)
        await network.open()
        host = RunningHost(group, network.owner)
        await host.start(group, network.owner)
        await host.send(LeaseChanged('1', make_lease()))
        link = host.directory.find_link(network.owner.link_address)
        await wait_for(lambda: link.counts.received_messages > 0)
        assert not host.claimed
        network.switch.cut()
        await wait_for(lambda: host.claimed, 1.0)
        group.cancel_scope.cancel()
