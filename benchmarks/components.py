"""Measures single components in one process.

These are syncs, the host list, configurations, shards and links.
"""

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
KEPT_JOB_COUNTS = (1_000, 3_000, 9_000)
PEER_COUNTS = (6, 12, 24)
LINK_WINDOW_S = 1.5
SUMMARY_INTERVAL_S = 0.5
SHARDS_PER_PROCESS = 3


def make_sync_messages(tasks: int) -> tuple[SyncRequest, SyncReply]:
    """Return a sync request and a reply that reports running tasks."""
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
    """Return the mean processor time per call, in microseconds."""
    started = process_time()
    for _ in range(repeats):
        function()
    return (process_time() - started) / repeats * 1e6


@register_measurement('sync of one worker')
def measure_sync() -> Table:
    """Measure sizes of a sync, and the worker's decoding and encoding time."""
    head_bytes = anyio.run(measure_request_head)
    rows = []
    for tasks in TASK_COUNTS:
        request, reply = make_sync_messages(tasks)
        encoded_request, encoded_reply = encode(request), encode(reply)
        rows.append(
            (
                tasks,
                len(encoded_request),
                len(encoded_reply),
                head_bytes,
                time_call(
                    partial(decode, encoded_request, type=SyncRequest), REPEATS
                ),
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
            fit_slope(
                'reply bytes by tasks', TASK_COUNTS, _get_column(rows, 2)
            ),
            fit_slope(
                'encode reply us by tasks', TASK_COUNTS, _get_column(rows, 5)
            ),
        ),
    )


def _get_column(rows: list[Any], column: int) -> list[float]:
    return [row[column] for row in rows]


async def measure_request_head() -> int:
    """Return the size in bytes of the HTTP head of a sync request."""
    sizes: list[int] = []
    request, reply = make_sync_messages(0)

    async def respond(reader: StreamReader, writer: StreamWriter) -> None:
        sizes.append(len(await reader.readuntil(b'\r\n\r\n')))
        body = encode(reply)
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body
        )
        await writer.drain()

    server = await start_server(respond, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with WorkerClient(f'http://{host}:{port}') as worker:
        await worker.sync(request)
    server.close()
    return sizes[0]


def make_configuration(hosts: int, domains: int = DOMAINS) -> Configuration:
    """Return a configuration of equal hosts, grouped in racks and shards."""
    entries = []
    racks: dict[tuple[str, int], list[str]] = {}
    for number in range(hosts):
        position = number // domains
        domain = f'domain-{number % domains:02}'
        rack_number = position // HOSTS_PER_RACK
        rack = f'{domain}-rack-{rack_number:03}'
        key = (domain, rack_number // RACKS_PER_SHARD)
        if rack not in racks.setdefault(key, []):
            racks[key].append(rack)
        entries.append(
            Host(
                f'{domain}-host-{position:04}',
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
    """Measure the size and decoding time of the platform's host list."""
    rows = []
    for hosts in CONFIGURATION_SIZES:
        encoded_hosts = encode(
            [
                HostStatus(host.name, False)
                for host in make_configuration(hosts).hosts
            ]
        )
        decode_us = time_call(
            partial(decode, encoded_hosts, type=tuple[HostStatus, ...]), 20
        )
        rows.append((hosts, len(encoded_hosts), decode_us / 1000))
    return Table(
        "The platform's list of hosts, read by each scheduler every second",
        ('hosts', 'bytes', 'decode ms'),
        tuple(rows),
        slopes=(
            fit_slope(
                'bytes by hosts', CONFIGURATION_SIZES, _get_column(rows, 1)
            ),
            fit_slope(
                'decode ms by hosts', CONFIGURATION_SIZES, _get_column(rows, 2)
            ),
        ),
    )


class MemoryStore:
    """An in-memory store that counts reads and writes."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.reads = 0
        self.writes = 0

    async def get(self, key: str) -> Item | None:
        """Return the item of a key, or None."""
        self.reads += 1
        return self.items.get(key)

    async def create(self, key: str, value: bytes) -> int:
        """Write a new key; raise StoreConflictError if it exists."""
        self.writes += 1
        if key in self.items:
            raise StoreConflictError(f'key {key!r} already exists')
        return self._put(key, value)

    async def swap(self, key: str, value: bytes, revision: int) -> int:
        """Replace a value; raise StoreConflictError on another revision."""
        self.writes += 1
        if self.items[key].revision != revision:
            raise StoreConflictError(f'key {key!r} has a different revision')
        return self._put(key, value)

    def _put(self, key: str, value: bytes) -> int:
        revision = self.reads + self.writes
        self.items[key] = Item(key, value, revision)
        return revision


@register_measurement('configuration by hosts')
def measure_configuration() -> Table:
    """Measure sizes and times of a configuration and a change of one host."""
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
            "'change' drains one host; 'read change' updates the previous "
            'version. The store is in memory.',
        ),
        (
            fit_slope(
                'bytes of all parts by hosts',
                CONFIGURATION_SIZES,
                _get_column(rows, 1),
            ),
            fit_slope(
                'read whole ms by hosts',
                CONFIGURATION_SIZES,
                _get_column(rows, 6),
            ),
            fit_slope(
                'publish change ms by hosts',
                CONFIGURATION_SIZES,
                _get_column(rows, 5),
            ),
        ),
    )


async def _measure_one_configuration(hosts: int) -> tuple[int | float, ...]:
    first = make_configuration(hosts)
    store = MemoryStore()
    published = await publish_configuration(
        store, replace(first, change=''), 0
    )
    assert isinstance(published, Configuration)
    entries = published.hosts
    drained = (replace(entries[0], drained=True), *entries[1:])
    manifest, parts = split_configuration(published)
    split_ms = _measure_median_ms(partial(split_configuration, published))
    join_ms = _measure_median_ms(partial(join_configuration, manifest, parts))
    message_ms = _measure_median_ms(partial(encode_configuration, published))
    writes = store.writes
    started = perf_counter()
    change = replace(published, hosts=drained, change='drain')
    changed = await publish_configuration(store, change, 1)
    publish_ms = (perf_counter() - started) * 1000
    assert isinstance(changed, Configuration)
    writes = store.writes - writes
    reads = store.reads
    started = perf_counter()
    await read_configuration(store)
    read_whole_ms = (perf_counter() - started) * 1000
    reads_whole = store.reads - reads
    reads = store.reads
    started = perf_counter()
    await read_configuration(store, published)
    read_change_ms = (perf_counter() - started) * 1000
    return (
        hosts,
        sum(map(len, parts.values())),
        max(map(len, parts.values())),
        len(encode_manifest(manifest)),
        split_ms,
        publish_ms,
        read_whole_ms,
        read_change_ms,
        join_ms,
        message_ms,
        reads_whole,
        store.reads - reads,
        writes,
    )


def _measure_median_ms(function: Callable[[], Any], repeats: int = 5) -> float:
    times = []
    for _ in range(repeats):
        started = perf_counter()
        function()
        times.append((perf_counter() - started) * 1000)
    return median(times)


class ShardDriver:
    """Drives the decisions of a shard with simulated workers and journal.

    Each record becomes durable and each task starts at once.

    Parameters
    ----------
    hosts : int
        Number of hosts of the shard, all in one failure domain.
    """

    def __init__(self, hosts: int) -> None:
        configuration = make_configuration(hosts, 1)
        racks = tuple(sorted({host.rack for host in configuration.hosts}))
        shard = Shard('shard', configuration.hosts[0].failure_domain, racks)
        self.now = 1_000_000
        self.state = ShardState('shard', 'owner')
        self.apply_event(
            ConfigurationChanged(replace(configuration, shards=(shard,)))
        )
        takeover = Takeover(1, 'owner', 0, 3_000)
        replay_records(self.state, (takeover,))
        begin_ownership(self.state, self.now)
        for name in self.state.hosts:
            self.sync_host(name)
        self._number = 0

    def apply_event(self, event: Any) -> tuple[Any, ...]:
        """Decide on an event and feed back the results of the actions."""
        actions = decide(self.state, event, self.now)
        for action in actions:
            if isinstance(action, AppendRecord):
                self.apply_event(RecordsDurable((action.record,)))
            if isinstance(action, StartTask):
                reply = StartReply(StartStatus.STARTED, 'a', self.now)
                self.apply_event(
                    StartAnswered(action.host, action.task, reply, self.now)
                )
        return actions

    def sync_host(self, host: str, ended: str = '') -> None:
        """Feed in a sync of a host, with one of its tasks optionally ended."""
        self.apply_event(
            HostSynced(host, self.make_reply(host, ended), self.now)
        )

    def make_reply(self, host: str, ended: str = '') -> SyncReply:
        """Return a worker's sync reply with its running and ended tasks."""
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

    def submit_job(self) -> str:
        """Submit one job and return its ID."""
        self._number += 1
        key = f'job-{self._number}'
        spec = JobSpec('team-001', key, demand=DEMAND)
        job_id = make_job_id(spec.team, spec.key)
        self.apply_event(
            RequestReceived(1, Submit('shard', job_id, spec, 5.0))
        )
        return job_id

    def finish_job(self, job_id: str) -> None:
        """Feed in a sync that reports the success of the job's only task."""
        placement = self.state.jobs[job_id].placements[0]
        self.sync_host(placement.host, placement.task)


@register_measurement('shard by hosts')
def measure_shard_hosts() -> Table:
    """Measure a shard's decision times and memory by its number of hosts."""
    rows = []
    for hosts in SHARD_SIZES:
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        driver = ShardDriver(hosts)
        idle_mb = (tracemalloc.get_traced_memory()[0] - before) / 1e6
        tracemalloc.stop()
        for _ in range(hosts * TASKS_PER_HOST):
            driver.submit_job()
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
            'start, reply. A tick occurs every 200 ms, a sync every 2 s.',
        ),
        tuple(
            fit_slope(
                f'{name} by hosts', SHARD_SIZES, _get_column(rows, column)
            )
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
    submit_us = time_call(lambda: jobs.append(driver.submit_job()), DECISIONS)
    remaining_jobs = iter(jobs)
    end_us = time_call(
        lambda: driver.finish_job(next(remaining_jobs)), DECISIONS
    )
    events = [
        HostSynced(name, driver.make_reply(name), driver.now)
        for name in list(driver.state.hosts)[:DECISIONS]
    ]
    remaining_events = iter(events)
    sync_us = time_call(
        lambda: driver.apply_event(next(remaining_events)), len(events)
    )
    tick_us = time_call(lambda: driver.apply_event(Ticked(1)), 20)
    return tasks, submit_us, end_us, sync_us, tick_us


@register_measurement('shard by kept jobs')
def measure_kept_jobs() -> Table:
    """Measure memory, snapshot and replay by the number of ended jobs."""
    rows = [_measure_ended_jobs(jobs) for jobs in KEPT_JOB_COUNTS]
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
            fit_slope(
                f'{name} by jobs', KEPT_JOB_COUNTS, _get_column(rows, column)
            )
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
    """Return the records of finished jobs that were placed on acceptance."""
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


def _measure_ended_jobs(jobs: int) -> tuple[int | float, ...]:
    data = encode_records(make_job_records(jobs))
    driver = ShardDriver(300)
    started = perf_counter()
    records = decode_records(data)
    decode_ms = (perf_counter() - started) * 1000
    started = perf_counter()
    replay_records(driver.state, records)
    replay_ms = (perf_counter() - started) * 1000
    list_ms = _measure_median_ms(
        lambda: tuple(list_snapshot_records(driver.state)), 1
    )
    snapshot_records = tuple(list_snapshot_records(driver.state))
    snapshot = encode_records(snapshot_records)
    encode_ms = _measure_median_ms(lambda: encode_records(snapshot_records), 1)
    second_driver = ShardDriver(300)
    tracemalloc.start()
    replay_records(second_driver.state, decode_records(data))
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
    """Return the summaries of the shards of one process."""
    free = CAPACITY.scale(300)
    return tuple(
        Summary(f'shard-07-{n}', 12, free, CAPACITY, 5, 'domain-07')
        for n in range(SHARDS_PER_PROCESS)
    )


@register_measurement('links by peers')
def measure_links() -> Table:
    """Compare summaries piggybacked on heartbeats with separate messages."""
    rows = []
    for peers in PEER_COUNTS:
        for name, is_separate, has_summaries in (
            ('bare heartbeats', False, False),
            ('piggybacked', False, True),
            ('separate', True, True),
        ):
            figures = anyio.run(_run_links, peers, is_separate, has_summaries)
            rows.append((peers, name, *figures))
    slopes = []
    for name in ('bare heartbeats', 'piggybacked', 'separate'):
        selected = [row for row in rows if row[1] == name]
        for column, unit in ((2, 'messages/s'), (3, 'bytes/s'), (4, 'ms/s')):
            slopes.append(
                fit_slope(
                    f'{name} {unit} by links',
                    PEER_COUNTS,
                    _get_column(selected, column),
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
    peers: int, is_separate: bool, has_summaries: bool
) -> tuple[float, float, float]:
    summaries = make_summaries() if has_summaries else ()
    bare_heartbeat = Heartbeat('scheduler-07', 1234)
    summary_heartbeat = Heartbeat('scheduler-07', 1234, summaries)
    # Separate messages have the same body as a heartbeat with summaries.
    sent_heartbeat = bare_heartbeat if is_separate else summary_heartbeat
    clients: set[bytes] = set()

    async def record_client(request: Any) -> None:
        clients.add(request.client)

    def make_heartbeat() -> Heartbeat:
        return sent_heartbeat

    def handle_heartbeat(heartbeat: Heartbeat) -> None:
        assert heartbeat.sender

    server = LinkServer(
        find_free_address(),
        record_client,
        make_heartbeat,
        handle_heartbeat,
        lambda error: None,
    )
    links = [
        Link(server.address, make_heartbeat, handle_heartbeat)
        for _ in range(peers)
    ]

    async def send_separately() -> None:
        while True:
            for link in links:
                link.send(summary_heartbeat)
            for client in clients:
                await server.reply(OutgoingReply(client, 0, summary_heartbeat))
            await anyio.sleep(SUMMARY_INTERVAL_S)

    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        for link in links:
            group.start_soon(link.run)
            link.send(Summary('s', 1, CAPACITY, CAPACITY, 0, 'd'))
        await anyio.sleep(1.0)
        if is_separate:
            group.start_soon(send_separately)
        before = server.counts
        started, processor_started = perf_counter(), process_time()
        await anyio.sleep(LINK_WINDOW_S)
        processor_s, elapsed_s = (
            process_time() - processor_started,
            perf_counter() - started,
        )
        after = server.counts
        group.cancel_scope.cancel()
    messages = (
        after.sent_messages
        + after.received_messages
        - before.sent_messages
        - before.received_messages
    )
    transferred_bytes = (
        after.sent_bytes
        + after.received_bytes
        - before.sent_bytes
        - before.received_bytes
    )
    return (
        messages / elapsed_s,
        transferred_bytes / elapsed_s,
        processor_s / elapsed_s * 1000,
    )
