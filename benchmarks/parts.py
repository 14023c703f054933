"""Measures parts without processes: syncs, configuration, shards, links."""

from __future__ import annotations

from asyncio import start_server
from dataclasses import replace
from functools import partial
from statistics import median
from time import perf_counter
from time import process_time
import tracemalloc
from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.json import decode
from msgspec.json import encode

from benchmarks.registry import register_measurement
from benchmarks.registry import Table
from benchmarks.slopes import fit_slope
from sassafrasgate.adapters.workers import WorkerClient
from sassafrasgate.configuration.publication import publish_configuration
from sassafrasgate.configuration.publication import read_configuration
from sassafrasgate.configuration.versions import encode_configuration
from sassafrasgate.configuration.versions import encode_manifest
from sassafrasgate.configuration.versions import join_configuration
from sassafrasgate.configuration.versions import split_configuration
from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.cells import Shard
from sassafrasgate.core.cells import Team
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.hosts import Host
from sassafrasgate.core.identifiers import make_job_id
from sassafrasgate.core.items import HostStatus
from sassafrasgate.core.items import Item
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.core.jobs import Placement
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.tasks import EndedTask
from sassafrasgate.core.tasks import RunningTask
from sassafrasgate.core.tasks import StartReply
from sassafrasgate.core.tasks import StartStatus
from sassafrasgate.core.tasks import SyncReply
from sassafrasgate.core.tasks import SyncRequest
from sassafrasgate.core.tasks import TaskOutcome
from sassafrasgate.core.tasks import TaskUsage
from sassafrasgate.journal.records import decode_records
from sassafrasgate.journal.records import encode_records
from sassafrasgate.journal.records import JobAccepted
from sassafrasgate.journal.records import JobEnded
from sassafrasgate.journal.records import Takeover
from sassafrasgate.protocol.links import Link
from sassafrasgate.protocol.links import LinkServer
from sassafrasgate.protocol.links import OutgoingReply
from sassafrasgate.protocol.messages import Heartbeat
from sassafrasgate.protocol.messages import Submit
from sassafrasgate.protocol.messages import Summary
from sassafrasgate.shards.actions import AppendRecord
from sassafrasgate.shards.actions import StartTask
from sassafrasgate.shards.events import ConfigurationChanged
from sassafrasgate.shards.events import HostSynced
from sassafrasgate.shards.events import RecordsDurable
from sassafrasgate.shards.events import RequestReceived
from sassafrasgate.shards.events import StartAnswered
from sassafrasgate.shards.events import Ticked
from sassafrasgate.shards.recovery import begin_ownership
from sassafrasgate.shards.recovery import list_snapshot_records
from sassafrasgate.shards.recovery import replay_records
from sassafrasgate.shards.state import ShardState
from sassafrasgate.shards.transitions import decide
from tests.processes import find_free_address

if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter
    from collections.abc import Callable

CAPACITY = Resources(16_000, 32_768, 0, 16, 64)
DEMAND = Resources(1000, 512, 0, 1, 1)
TASK_COUNTS = (0, 7, 14)
REPEATS = 2_000
CONFIGURATION_SIZES = (990, 3_300, 9_900)
DOMAINS = 14
TEAMS = 130
HOSTS_PER_RACK = 30
RACKS_PER_SHARD = 10
SHARD_SIZES = (24, 100, 300, 700)
TASKS_PER_HOST = 14
DECISIONS = 100
KEPT_JOBS = (1_000, 3_000, 9_000)
PEERS = (6, 12, 24)
LINK_S = 1.5
SUMMARY_S = 0.5
SHARDS_PER_PROCESS = 3


def make_sync(tasks: int) -> tuple[SyncRequest, SyncReply]:
    """Return a sync and its reply with some running tasks."""
    names = [
        f'{make_job_id("orders", f"order-{number:06}")}.0.1'
        for number in range(tasks)
    ]
    request = SyncRequest(
        'shard-domain-07-2', 12, 123_456_789, (), 2_000, (), 'a' * 16
    )
    reply = SyncReply(
        True,
        'a' * 16,
        123_446_789,
        12,
        False,
        tuple(
            RunningTask(name, request.shard, 12, DEMAND, 123_456_789)
            for name in names
        ),
        (),
        tuple(TaskUsage(name, 900, 480, 4_000) for name in names),
    )
    return request, reply


def time_call(function: Callable[[], Any], repeats: int) -> float:
    """Return the mean processor time of a call, in microseconds."""
    started = process_time()
    for _ in range(repeats):
        function()
    return (process_time() - started) / repeats * 1e6


@register_measurement('sync of one worker')
def measure_sync() -> Table:
    """Count bytes of a sync and time its encoding on the worker's side."""
    head = anyio.run(count_request_head)
    rows = []
    for tasks in TASK_COUNTS:
        request, reply = make_sync(tasks)
        asked, answered = encode(request), encode(reply)
        rows.append(
            (
                tasks,
                len(asked),
                len(answered),
                head,
                time_call(partial(decode, asked, type=SyncRequest), REPEATS),
                time_call(partial(encode, reply), REPEATS),
            )
        )
    return Table(
        'One sync: bytes, and microseconds of processor time on the worker',
        (
            'tasks',
            'request bytes',
            'reply bytes',
            'request head bytes',
            'decode request us',
            'encode reply us',
        ),
        tuple(rows),
        (
            'Without TCP and IP headers; the reply head is measured in '
            "'scheduler by hosts'.",
        ),
        (
            fit_slope('reply bytes by tasks', TASK_COUNTS, _take(rows, 2)),
            fit_slope('encode reply us by tasks', TASK_COUNTS, _take(rows, 5)),
        ),
    )


def _take(rows: list[Any], column: int) -> list[float]:
    return [row[column] for row in rows]


async def count_request_head() -> int:
    """Return the bytes of the HTTP head that a sync is sent with."""
    sizes: list[int] = []
    request, reply = make_sync(0)

    async def answer(reader: StreamReader, writer: StreamWriter) -> None:
        sizes.append(len(await reader.readuntil(b'\r\n\r\n')))
        body = encode(reply)
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body
        )
        await writer.drain()

    server = await start_server(answer, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with WorkerClient(f'http://{host}:{port}') as worker:
        await worker.sync(request)
    server.close()
    return sizes[0]


def make_configuration(hosts: int, domains: int = DOMAINS) -> Configuration:
    """Return a configuration of equal hosts in racks and shards."""
    entries = []
    racks: dict[tuple[str, int], list[str]] = {}
    for number in range(hosts):
        place = number // domains
        domain = f'domain-{number % domains:02}'
        rack_number = place // HOSTS_PER_RACK
        rack = f'{domain}-rack-{rack_number:03}'
        key = (domain, rack_number // RACKS_PER_SHARD)
        if rack not in racks.setdefault(key, []):
            racks[key].append(rack)
        entries.append(
            Host(
                f'{domain}-host-{place:04}',
                f'http://127.0.{number >> 8}.{number & 255}:2600',
                rack,
                domain,
                CAPACITY,
            )
        )
    shards = tuple(
        Shard(f'shard-{domain}-{number}', domain, tuple(names))
        for (domain, number), names in racks.items()
    )
    teams = tuple(Team(f'team-{number:03}') for number in range(TEAMS))
    return Configuration(
        1, 'change', 'cell', tuple(entries), shards, teams, ()
    )


@register_measurement('host list by hosts')
def measure_host_list() -> Table:
    """Size of the platform's host list and the time to decode it."""
    rows = []
    for hosts in CONFIGURATION_SIZES:
        listed = encode(
            [
                HostStatus(host.name, False)
                for host in make_configuration(hosts).hosts
            ]
        )
        decode_us = time_call(
            partial(decode, listed, type=tuple[HostStatus, ...]), 20
        )
        rows.append((hosts, len(listed), decode_us / 1000))
    return Table(
        "The platform's list of hosts, read by each scheduler every second",
        ('hosts', 'bytes', 'decode ms'),
        tuple(rows),
        slopes=(
            fit_slope('bytes by hosts', CONFIGURATION_SIZES, _take(rows, 1)),
            fit_slope(
                'decode ms by hosts', CONFIGURATION_SIZES, _take(rows, 2)
            ),
        ),
    )


class MemoryStore:
    """A store in memory that counts calls."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.reads = 0
        self.writes = 0

    async def get(self, key: str) -> Item | None:
        """Return a key, or None."""
        self.reads += 1
        return self.items.get(key)

    async def create(self, key: str, value: bytes) -> int:
        """Write a key that must not exist."""
        self.writes += 1
        if key in self.items:
            raise StoreConflictError(f'{key!r} exists')
        return self._put(key, value)

    async def swap(self, key: str, value: bytes, revision: int) -> int:
        """Write a key that must have a revision."""
        self.writes += 1
        if self.items[key].revision != revision:
            raise StoreConflictError(f'{key!r} has another revision')
        return self._put(key, value)

    def _put(self, key: str, value: bytes) -> int:
        revision = self.reads + self.writes
        self.items[key] = Item(key, value, revision)
        return revision


@register_measurement('configuration by hosts')
def measure_configuration() -> Table:
    """Time and size of a configuration, and of a change of one host."""
    rows = [
        anyio.run(_measure_one_configuration, hosts)
        for hosts in CONFIGURATION_SIZES
    ]
    return Table(
        f'Configuration in {DOMAINS} failure domains; times in ms',
        (
            'hosts',
            'bytes of all parts',
            'bytes of largest part',
            'bytes of manifest',
            'split',
            'publish change',
            'read whole',
            'read change',
            'join',
            'as one message',
            'reads whole',
            'reads change',
            'writes change',
        ),
        tuple(rows),
        (
            "'change' drains one host; 'read change' holds the version "
            'before. Store in memory.',
        ),
        (
            fit_slope(
                'bytes of all parts by hosts',
                CONFIGURATION_SIZES,
                _take(rows, 1),
            ),
            fit_slope(
                'read whole ms by hosts', CONFIGURATION_SIZES, _take(rows, 6)
            ),
            fit_slope(
                'publish change ms by hosts',
                CONFIGURATION_SIZES,
                _take(rows, 5),
            ),
        ),
    )


async def _measure_one_configuration(hosts: int) -> tuple[int | float, ...]:
    first = make_configuration(hosts)
    store = MemoryStore()
    held = await publish_configuration(store, replace(first, change=''), 0)
    assert isinstance(held, Configuration)
    entries = held.hosts
    drained = (replace(entries[0], drained=True), *entries[1:])
    manifest, parts = split_configuration(held)
    split_ms = _time_ms(partial(split_configuration, held))
    join_ms = _time_ms(partial(join_configuration, manifest, parts))
    message_ms = _time_ms(partial(encode_configuration, held))
    writes = store.writes
    started = perf_counter()
    change = replace(held, hosts=drained, change='drain')
    newer = await publish_configuration(store, change, 1)
    publish_ms = (perf_counter() - started) * 1000
    assert isinstance(newer, Configuration)
    writes = store.writes - writes
    reads = store.reads
    started = perf_counter()
    await read_configuration(store)
    whole_ms = (perf_counter() - started) * 1000
    reads_whole = store.reads - reads
    reads = store.reads
    started = perf_counter()
    await read_configuration(store, held)
    change_ms = (perf_counter() - started) * 1000
    return (
        hosts,
        sum(map(len, parts.values())),
        max(map(len, parts.values())),
        len(encode_manifest(manifest)),
        split_ms,
        publish_ms,
        whole_ms,
        change_ms,
        join_ms,
        message_ms,
        reads_whole,
        store.reads - reads,
        writes,
    )


def _time_ms(function: Callable[[], Any], repeats: int = 5) -> float:
    times = []
    for _ in range(repeats):
        started = perf_counter()
        function()
        times.append((perf_counter() - started) * 1000)
    return median(times)


class ShardDriver:
    """Drives a shard's decisions; its workers and journal always answer.

    Parameters
    ----------
    hosts : int
        Hosts of the shard, all in one failure domain.
    """

    def __init__(self, hosts: int) -> None:
        configuration = make_configuration(hosts, 1)
        racks = tuple(sorted({host.rack for host in configuration.hosts}))
        shard = Shard('shard', configuration.hosts[0].failure_domain, racks)
        self.now = 1_000_000
        self.state = ShardState('shard', 'owner')
        self.step(
            ConfigurationChanged(replace(configuration, shards=(shard,)))
        )
        takeover = Takeover(1, 'owner', 0, 3_000)
        replay_records(self.state, (takeover,))
        begin_ownership(self.state, self.now)
        for name in self.state.hosts:
            self.sync(name)
        self._number = 0

    def step(self, event: Any) -> tuple[Any, ...]:
        """Decide, and answer what the decision asks of others."""
        actions = decide(self.state, event, self.now)
        for action in actions:
            if isinstance(action, AppendRecord):
                self.step(RecordsDurable((action.record,)))
            if isinstance(action, StartTask):
                reply = StartReply(StartStatus.STARTED, 'a', self.now)
                self.step(
                    StartAnswered(action.host, action.task, reply, self.now)
                )
        return actions

    def sync(self, host: str, ended: str = '') -> None:
        """Let a worker report its tasks, one of them ended."""
        self.step(HostSynced(host, self.make_reply(host, ended), self.now))

    def make_reply(self, host: str, ended: str = '') -> SyncReply:
        """Return a worker's report."""
        tasks = [
            task
            for task in self.state.index.list_reservations(host)
            if task != ended
        ]
        return SyncReply(
            True,
            'a',
            self.now + 1,
            1,
            False,
            tuple(
                RunningTask(task, 'shard', 1, DEMAND, self.now + 10_000)
                for task in tasks
            ),
            (EndedTask(ended, TaskOutcome.FINISHED),) if ended else (),
            tuple(TaskUsage(task, 900, 400, 4_000) for task in tasks),
        )

    def submit(self) -> str:
        """Submit one job and return its id."""
        self._number += 1
        key = f'job-{self._number}'
        spec = JobSpec('team-001', key, demand=DEMAND)
        job_id = make_job_id(spec.team, spec.key)
        self.step(RequestReceived(1, Submit('shard', job_id, spec, 5.0)))
        return job_id

    def finish(self, job_id: str) -> None:
        """Let the job's only task end with success."""
        placement = self.state.jobs[job_id].placements[0]
        self.sync(placement.host, placement.task)


@register_measurement('shard by hosts')
def measure_shard_hosts() -> Table:
    """Time a shard's decisions, and its memory, against its hosts."""
    rows = []
    for hosts in SHARD_SIZES:
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        driver = ShardDriver(hosts)
        idle_mb = (tracemalloc.get_traced_memory()[0] - before) / 1e6
        tracemalloc.stop()
        for _ in range(hosts * TASKS_PER_HOST):
            driver.submit()
        rows.append((hosts, *_time_decisions(driver), idle_mb))
    return Table(
        f'A shard with {TASKS_PER_HOST} running tasks per host; '
        'processor time in us',
        (
            'hosts',
            'tasks',
            'job: submit and start',
            'job: end',
            'sync of a host',
            'tick',
            'MB without tasks',
        ),
        tuple(rows),
        (
            "'job: submit and start' has four events: submit, record, "
            'start, answer. A tick comes every 200 ms, a sync every 2 s.',
        ),
        tuple(
            fit_slope(f'{name} by hosts', SHARD_SIZES, _take(rows, column))
            for name, column in (
                ('submit and start us', 2),
                ('end us', 3),
                ('sync us', 4),
                ('tick us', 5),
                ('MB without tasks', 6),
            )
        ),
    )


def _time_decisions(driver: ShardDriver) -> tuple[int, float, ...]:
    tasks = len(driver.state.tasks)
    jobs: list[str] = []
    submit_us = time_call(lambda: jobs.append(driver.submit()), DECISIONS)
    remaining = iter(jobs)
    end_us = time_call(lambda: driver.finish(next(remaining)), DECISIONS)
    events = [
        HostSynced(name, driver.make_reply(name), driver.now)
        for name in list(driver.state.hosts)[:DECISIONS]
    ]
    each = iter(events)
    sync_us = time_call(lambda: driver.step(next(each)), len(events))
    tick_us = time_call(lambda: driver.step(Ticked(1)), 20)
    return tasks, submit_us, end_us, sync_us, tick_us


@register_measurement('shard by kept jobs')
def measure_kept_jobs() -> Table:
    """Memory, snapshot and replay of jobs that have ended."""
    rows = [_measure_kept(jobs) for jobs in KEPT_JOBS]
    return Table(
        'A shard of 300 hosts with ended jobs kept; times in ms',
        (
            'jobs',
            'records',
            'MB of jobs',
            'journal MB',
            'snapshot MB',
            'list records',
            'encode snapshot',
            'decode',
            'replay',
            'replay per 1000 records',
        ),
        tuple(rows),
        slopes=tuple(
            fit_slope(f'{name} by jobs', KEPT_JOBS, _take(rows, column))
            for name, column in (
                ('MB of jobs', 2),
                ('snapshot MB', 4),
                ('list records ms', 5),
                ('encode snapshot ms', 6),
                ('decode ms', 7),
                ('replay ms', 8),
            )
        ),
    )


def make_job_records(jobs: int) -> list[Any]:
    """Return the records of jobs that were placed at once and finished."""
    records: list[Any] = []
    for number in range(jobs):
        spec = JobSpec(
            'team-001', f'order-{number}', demand=DEMAND, payload=b'x' * 100
        )
        job_id = make_job_id(spec.team, spec.key)
        placement = Placement(
            f'{job_id}.0.1', 'domain-00-host-0001', DEMAND, 'a' * 16
        )
        records.append(JobAccepted(job_id, spec, 1, (placement,), 1))
        outcome = Outcome(JobState.FINISHED, output=b'y' * 100, size=100)
        records.append(JobEnded(job_id, 1, outcome, 2))
    return records


def _measure_kept(jobs: int) -> tuple[int | float, ...]:
    data = encode_records(make_job_records(jobs))
    driver = ShardDriver(300)
    started = perf_counter()
    records = decode_records(data)
    decode_ms = (perf_counter() - started) * 1000
    started = perf_counter()
    replay_records(driver.state, records)
    replay_ms = (perf_counter() - started) * 1000
    list_ms = _time_ms(lambda: tuple(list_snapshot_records(driver.state)), 1)
    listed = tuple(list_snapshot_records(driver.state))
    snapshot = encode_records(listed)
    encode_ms = _time_ms(lambda: encode_records(listed), 1)
    fresh = ShardDriver(300)
    tracemalloc.start()
    replay_records(fresh.state, decode_records(data))
    jobs_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return (
        jobs,
        len(records),
        jobs_mb,
        len(data) / 1e6,
        len(snapshot) / 1e6,
        list_ms,
        encode_ms,
        decode_ms,
        replay_ms,
        (decode_ms + replay_ms) / len(records) * 1000,
    )


def make_summaries() -> tuple[Summary, ...]:
    """Return the summaries of one process's shards."""
    free = CAPACITY.scale(300)
    return tuple(
        Summary(f'shard-07-{n}', 12, free, CAPACITY, 5, 'domain-07')
        for n in range(SHARDS_PER_PROCESS)
    )


@register_measurement('links by peers')
def measure_links() -> Table:
    """Compare summaries on heartbeats with separate messages."""
    rows = []
    for peers in PEERS:
        for name, is_separate, carries in (
            ('bare heartbeats', False, False),
            ('piggybacked', False, True),
            ('separate', True, True),
        ):
            figures = anyio.run(_run_links, peers, is_separate, carries)
            rows.append((peers, name, *figures))
    slopes = []
    for name in ('bare heartbeats', 'piggybacked', 'separate'):
        mine = [row for row in rows if row[1] == name]
        for column, unit in ((2, 'messages/s'), (3, 'bytes/s'), (4, 'ms/s')):
            slopes.append(
                fit_slope(
                    f'{name} {unit} by links', PEERS, _take(mine, column)
                )
            )
    return Table(
        f'Links from peers to one server end, with {SHARDS_PER_PROCESS} '
        'summaries each way every 0.5 s',
        (
            'links',
            'summaries',
            'messages/s',
            'bytes/s',
            'processor ms/s, both ends',
        ),
        tuple(rows),
        ('Both ends of all links run in this process.',),
        tuple(slopes),
    )


async def _run_links(
    peers: int, is_separate: bool, carries: bool
) -> tuple[float, float, float]:
    summaries = make_summaries() if carries else ()
    bare = Heartbeat('scheduler-07', 1234)
    loaded = Heartbeat('scheduler-07', 1234, summaries)
    # The separate message has the same body as a loaded heartbeat.
    beat = bare if is_separate else loaded
    clients: set[bytes] = set()

    async def ignore(request: Any) -> None:
        clients.add(request.client)

    def make_heartbeat() -> Heartbeat:
        return beat

    def handle_heartbeat(heartbeat: Heartbeat) -> None:
        assert heartbeat.sender

    server = LinkServer(
        find_free_address(), ignore, make_heartbeat, handle_heartbeat
    )
    links = [
        Link(server.address, make_heartbeat, handle_heartbeat)
        for _ in range(peers)
    ]

    async def send_separately() -> None:
        while True:
            for link in links:
                link.send(loaded)
            for client in clients:
                await server.reply(OutgoingReply(client, 0, loaded))
            await anyio.sleep(SUMMARY_S)

    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        for link in links:
            group.start_soon(link.run)
            link.send(Summary('s', 1, CAPACITY, CAPACITY, 0, 'd'))
        await anyio.sleep(1.0)
        if is_separate:
            group.start_soon(send_separately)
        before = server.counts
        began, started = perf_counter(), process_time()
        await anyio.sleep(LINK_S)
        busy, took = process_time() - started, perf_counter() - began
        after = server.counts
        group.cancel_scope.cancel()
    messages = (
        after.sent_messages
        + after.received_messages
        - before.sent_messages
        - before.received_messages
    )
    size = (
        after.sent_bytes
        + after.received_bytes
        - before.sent_bytes
        - before.received_bytes
    )
    return messages / took, size / took, busy / took * 1000
