"""Tests watches of the store whose connection stops responding."""

from contextlib import asynccontextmanager
from json import dumps
from time import monotonic

from aiohttp import web
import anyio
from logbook import Logger
import pytest

from sassafrasgate.core.items import Changes
from sassafrasgate.core.items import Item
from sassafrasgate.daemons.prefix_watches import PrefixWatch
from sassafrasgate.daemons.relays import RelayedStore
from sassafrasgate.daemons.watches import RegistrationSource
from sassafrasgate.daemons.watches import RegistrationTask
from sassafrasgate.dispatch.events import WorkerRegistered
from sassafrasgate.observability.failures import FailureRecorder
from sassafrasgate.observability.failures import InvalidEntryLog
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.platform.registrations import read_registration
from sassafrasgate.platform.registrations import REGISTRATION_PREFIX
from sassafrasgate.platform.store import PlatformStore
from tests.platform.test_registrations import ENTRY
from tests.processes import find_free_address
from tests.relays import Relay
from tests.standins.platform_store import StoreProgram

pytestmark = pytest.mark.anyio

# Time from a connection going silent until a host must act on all that the
# store has acknowledged.
RECOVERY_S = 3.0
LOGGER = Logger('test')
FAILURES = FailureRecorder(LOGGER, Metrics())
INVALID_ENTRIES = InvalidEntryLog(FAILURES, REGISTRATION_PREFIX)


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@asynccontextmanager
async def serve_store():
    """Serve a store behind a relay; yield the store's program and both."""
    program = StoreProgram()
    runner = web.AppRunner(program.build(), access_log=None)
    await runner.setup()
    address = find_free_address()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    relay = Relay(address)
    async with anyio.create_task_group() as group:
        group.start_soon(relay.run)
        await relay.ready.wait()
        async with (
            PlatformStore(f'http://{relay.address}') as watched,
            PlatformStore(f'http://{address}') as writer,
        ):
            yield group, relay, watched, writer
            group.cancel_scope.cancel()
    await runner.cleanup()


async def relay_nothing(call, timeout_s):
    """Stand for other entry hosts whose connections are silent as well."""
    await anyio.sleep(timeout_s)


def encode_entry(**changes):
    return dumps({**ENTRY, **changes}).encode()


async def test_worker_that_leaves_while_the_watch_is_silent_is_seen():
    # Guards against starts on a leaving worker: the owner's only source for
    # its entry waited 20 s on a connection that had gone silent.
    key = f'{REGISTRATION_PREFIX}i-1'
    sender, events = anyio.create_memory_object_stream(100)
    async with serve_store() as (group, relay, watched, writer):
        revision = await writer.create(key, encode_entry())
        store = RelayedStore(watched, relay_nothing, LOGGER)
        source = RegistrationSource(REGISTRATION_PREFIX, read_registration)
        watch = PrefixWatch(store, REGISTRATION_PREFIX, FAILURES)
        group.start_soon(
            RegistrationTask(watch, source, sender, INVALID_ENTRIES).run
        )
        await events.receive()
        await anyio.sleep(0.1)
        relay.silence()
        await writer.swap(key, encode_entry(state='draining'), revision)
        leaving = False
        with anyio.move_on_after(RECOVERY_S):
            while not leaving:
                leaving = is_leaving(await events.receive())
        assert leaving


class PagedStore:
    """A store whose list was read in several calls.

    The last call has returned a change that the watch repeats.
    """

    def __init__(self, listed, changes):
        self._listed = listed
        self._changes = list(changes)

    async def read_prefix(self, prefix, priority=0):
        return self._listed

    async def watch(self, prefix, after, wait_s, priority=0):
        if not self._changes:
            await anyio.sleep_forever()
        return self._changes.pop(0)


async def test_older_entry_is_not_applied_after_a_newer_one():
    # Guards against a leaving worker that counts as ready again for a while,
    # because the watch begins before the end of a long list.
    key = f'{REGISTRATION_PREFIX}i-1'
    leaving = Item(key, encode_entry(state='draining'), 7)
    store = PagedStore(
        Changes(4, (leaving,)),
        (
            Changes(5, (Item(key, encode_entry(slots=9), 5),)),
            Changes(8, (leaving, Item(f'{key}9', encode_entry(), 8))),
        ),
    )
    sender, events = anyio.create_memory_object_stream(100)
    source = RegistrationSource(REGISTRATION_PREFIX, read_registration)
    watch = PrefixWatch(store, REGISTRATION_PREFIX, FAILURES)
    async with anyio.create_task_group() as group:
        group.start_soon(
            RegistrationTask(watch, source, sender, INVALID_ENTRIES).run
        )
        with anyio.fail_after(RECOVERY_S):
            assert is_leaving(await events.receive())
            changed = []
            while not changed:
                event = await events.receive()
                if isinstance(event, WorkerRegistered):
                    changed.append(event.registration.worker)
        group.cancel_scope.cancel()
    assert changed == ['i-19']


def is_leaving(event):
    """Return whether an event tells that a worker is leaving."""
    listed = getattr(event, 'registrations', ())
    if isinstance(event, WorkerRegistered):
        listed = (event.registration,)
    return any(registration.leaving for registration in listed)


@pytest.mark.parametrize('prefix', ['op/', 'control/'])
async def test_key_that_changes_while_the_watch_is_silent_is_seen(prefix):
    # Guards against a host that acts on an old routing table or an old owner.
    seen = anyio.Event()
    key = f'{prefix}config'

    async def handle_list(listed):
        await handle_changes(listed.items)

    async def handle_changes(items):
        if any(item.value == b'new' for item in items):
            seen.set()

    async with serve_store() as (group, relay, watched, writer):
        revision = await writer.create(key, b'old')
        watch = PrefixWatch(watched, prefix, FAILURES)
        group.start_soon(watch.run, handle_list, handle_changes)
        with anyio.fail_after(RECOVERY_S):
            while not relay.connections:
                await anyio.sleep(0.01)
        await anyio.sleep(0.1)
        relay.silence()
        began = monotonic()
        await writer.swap(key, b'new', revision)
        with anyio.move_on_after(RECOVERY_S):
            await seen.wait()
        assert seen.is_set(), f'not seen within {monotonic() - began:.1f} s'
