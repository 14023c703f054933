"""Composition of the tasks of front ends and schedulers."""

from __future__ import annotations

from functools import partial
from typing import Any
from typing import cast
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.composition.processes import FRONTEND_LEASE_TTL_MS
from sassafrasgate.composition.processes import open_process
from sassafrasgate.composition.processes import Process
from sassafrasgate.composition.processes import RATE_UPDATE_INTERVAL_S
from sassafrasgate.composition.processes import RATE_WEIGHTS
from sassafrasgate.composition.processes import SHUTDOWN_DELAY_S
from sassafrasgate.composition.runtime import Inbox
from sassafrasgate.composition.runtime import make_inbox
from sassafrasgate.composition.runtime import wait_for_stop
from sassafrasgate.daemons.configurations import ConfigurationTask
from sassafrasgate.daemons.configurations import PeerVersionReceived
from sassafrasgate.daemons.control import CONTROL_PREFIX
from sassafrasgate.daemons.control import ControlWatchTask
from sassafrasgate.daemons.counters import CounterTask
from sassafrasgate.daemons.directory import Directory
from sassafrasgate.daemons.leases import LeaseTask
from sassafrasgate.daemons.prefix_watches import PrefixWatch
from sassafrasgate.observability.failures import FailureRecorder
from sassafrasgate.protocol.messages import Heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.configuration.settings import Settings
    from sassafrasgate.daemons.freshness import ViewFreshness
    from sassafrasgate.http.gateways import Gateway


def make_heartbeat_factory(
    name: str, find_version: Callable[[], int]
) -> Callable[[], Heartbeat]:
    """Return a function that makes the heartbeats of a front end.

    Parameters
    ----------
    name : str
        Name of the process.
    find_version : callable
        Returns the version of the configuration that the process uses.
    """

    def make_heartbeat() -> Heartbeat:
        return Heartbeat(name, find_version())

    return make_heartbeat


def make_heartbeat_handler(
    configuration_sender: MemoryObjectSendStream[Any],
) -> Callable[[Heartbeat], None]:
    """Return a function that handles heartbeats received from other processes.

    It sends a `PeerVersionReceived` when a process has a newer configuration.

    Parameters
    ----------
    configuration_sender : MemoryObjectSendStream
        The configuration task's inbox.
    """
    latest_versions: dict[str, int] = {}

    def handle_heartbeat(heartbeat: Heartbeat) -> None:
        # Only newer versions are passed on, so that heartbeats do not fill up
        # the inbox.
        if (
            latest_versions.get(heartbeat.sender, -1)
            >= heartbeat.configuration
        ):
            return
        latest_versions[heartbeat.sender] = heartbeat.configuration
        try:
            configuration_sender.send_nowait(
                PeerVersionReceived(heartbeat.sender, heartbeat.configuration)
            )
        except anyio.WouldBlock:
            del latest_versions[heartbeat.sender]

    return handle_heartbeat


def start_common_tasks(
    process: Process,
    directory: Directory,
    group: TaskGroup,
    main_inbox: Inbox,
    configuration_inbox: Inbox,
    ttl_ms: int,
    views: tuple[ViewFreshness, ...] = (),
) -> None:
    """Start the tasks that front ends and schedulers have in common.

    Parameters
    ----------
    process : Process
        Shared objects of the process.
    directory : Directory
        Live processes and the links to them.
    group : TaskGroup
        Task group in which the tasks run.
    main_inbox, configuration_inbox : Inbox
        Inboxes of the process's main task and of its configuration task.
    ttl_ms : int
        Length of the process's lease in the store, in ms.
    views : tuple of ViewFreshness
        Views of the process whose age is published, besides that of the
        control keys.
    """
    lease = LeaseTask(
        process.lease_store,
        process.member,
        main_inbox.send,
        ttl_ms,
        int(process.settings.outage_grace_s * 1000),
    )
    watch = PrefixWatch(
        process.watch_store,
        CONTROL_PREFIX,
        FailureRecorder(process.logger, process.metrics),
    )
    control = ControlWatchTask(
        watch, (main_inbox.send, configuration_inbox.send)
    )
    configuration = ConfigurationTask(
        process.store,
        directory.broadcast_request,
        configuration_inbox.receive,
        (main_inbox.send,),
    )
    group.start_soon(process.rate_limiter.run)
    group.start_soon(lease.run)
    group.start_soon(control.run)
    group.start_soon(configuration.run)
    group.start_soon(update_rate_limits, process, directory)
    counters = CounterTask(
        (process.store, process.watch_store, process.lease_store),
        lambda: (watch.freshness, *views),
        lambda: (link.counts for link in directory.list_links()),
        process.metrics,
    )
    group.start_soon(counters.run)
    directory.connect_peers()


async def update_rate_limits(process: Process, directory: Directory) -> None:
    """Keep this process's share of the cell's store call rates up to date.

    The cell's rates are divided among its live processes by `RATE_WEIGHTS`.
    """
    settings = process.settings
    current_share = 0.0
    while True:
        await anyio.sleep(RATE_UPDATE_INTERVAL_S)
        weights = [
            RATE_WEIGHTS.get(member.role, 1)
            for member in directory.members.values()
        ]
        if not weights:
            continue
        share = RATE_WEIGHTS[process.member.role] / sum(weights)
        if share == current_share:
            continue
        current_share = share
        await process.rate_limiter.set_rates(
            settings.writes_per_s * share, settings.reads_per_s * share
        )


async def serve_frontend(settings: Settings) -> None:
    """Run a front end until the process gets a stop signal."""
    # The HTTP modules are imported here because schedulers do not serve
    # callers over HTTP.
    from sassafrasgate.daemons.frontend import FrontendTask
    from sassafrasgate.http.admission import compute_budget
    from sassafrasgate.http.application import build_application
    from sassafrasgate.http.guards import ConnectionGuard
    from sassafrasgate.http.limits import Limits
    from sassafrasgate.http.limits import MAX_OPEN_BODY_BYTES
    from sassafrasgate.http.server import serve_http

    stop = anyio.Event()
    closed = anyio.Event()
    async with (
        open_process(settings, 'frontend') as process,
        anyio.create_task_group() as group,
    ):
        main_inbox, configuration_inbox = make_inbox(), make_inbox()
        directory = Directory(
            group,
            settings.peers,
            make_heartbeat_factory(settings.name, lambda: task.version),
            make_heartbeat_handler(configuration_inbox.send),
        )
        task = FrontendTask(
            settings.name,
            directory,
            process.store,
            main_inbox.receive,
            configuration_inbox.send,
            process.logger,
            process.metrics,
        )
        budget = compute_budget(settings.memory_mb, settings.max_descriptors)
        guard = ConnectionGuard(budget, process.logger, process.metrics)
        limits = Limits(
            max_open_body_bytes=min(MAX_OPEN_BODY_BYTES, budget.max_body_bytes)
        )
        application = build_application(task, process.metrics, limits)
        group.start_soon(guard.run)
        start_common_tasks(
            process,
            directory,
            group,
            main_inbox,
            configuration_inbox,
            FRONTEND_LEASE_TTL_MS,
        )
        group.start_soon(task.run)
        group.start_soon(wait_for_stop, stop)

        async def close_after_stop() -> None:
            await stop.wait()
            task.stop()
            # The load balancer needs time to see that the process is not
            # ready before the listening socket closes.
            await anyio.sleep(SHUTDOWN_DELAY_S)
            closed.set()

        group.start_soon(close_after_stop)
        await serve_http(
            application,
            settings.http_address,
            closed,
            settings.drain_s,
            guard=guard,
        )
        group.cancel_scope.cancel()


async def serve_scheduler(settings: Settings) -> None:
    """Run a scheduler until the process gets a stop signal."""
    from sassafrasgate.adapters.schemes import open_worker
    from sassafrasgate.daemons.host_lists import HostListTask
    from sassafrasgate.daemons.messages import StopProcess
    from sassafrasgate.daemons.scheduler import SchedulerTask
    from sassafrasgate.daemons.shards import ShardServices
    from sassafrasgate.http.application import build_application
    from sassafrasgate.http.limits import Limits
    from sassafrasgate.http.routes import RouteGroup
    from sassafrasgate.http.server import serve_http
    from sassafrasgate.protocol.links import LinkServer

    stop = anyio.Event()
    async with (
        open_process(settings, 'scheduler') as process,
        anyio.create_task_group() as group,
    ):
        main_inbox, configuration_inbox = make_inbox(), make_inbox()
        failures = FailureRecorder(process.logger, process.metrics)
        handle_version = make_heartbeat_handler(configuration_inbox.send)

        def make_heartbeat() -> Heartbeat:
            # Heartbeats carry the summaries, which saves separate messages.
            return Heartbeat(
                settings.name, task.version, task.list_summaries()
            )

        def handle_heartbeat(heartbeat: Heartbeat) -> None:
            handle_version(heartbeat)
            task.receive_summaries(heartbeat.summaries)

        directory = Directory(
            group, settings.peers, make_heartbeat, handle_heartbeat
        )
        server = LinkServer(
            settings.link_address,
            lambda request: task.handle_request(request),
            make_heartbeat,
            handle_heartbeat,
            lambda error: failures.record('message', error),
        )
        services = ShardServices(
            f'{process.member.name}/{process.member.incarnation}',
            process.store,
            server.reply,
            directory.send_request,
            lambda summary: task.update_summary(summary),
            process.logger,
            process.metrics,
            partial(open_worker, budget=process.budget),
        )
        task = SchedulerTask(
            process.member,
            services,
            directory,
            main_inbox.receive,
            int(settings.drain_s * 1000),
        )
        host_list = HostListTask(
            process.store, main_inbox.send, process.logger
        )
        start_common_tasks(
            process,
            directory,
            group,
            main_inbox,
            configuration_inbox,
            int(settings.owner_ttl_s * 1000),
            (host_list.freshness,),
        )
        group.start_soon(host_list.run)
        group.start_soon(server.run)
        application = build_application(
            cast('Gateway', task),
            process.metrics,
            Limits(),
            frozenset({RouteGroup.HEALTH}),
        )
        closed = anyio.Event()
        group.start_soon(
            serve_http, application, settings.http_address, closed, 0.0
        )
        group.start_soon(wait_for_stop, stop)

        async def forward_stop() -> None:
            await stop.wait()
            await main_inbox.send.send(StopProcess())

        group.start_soon(forward_stop)
        await task.run()
        # The link server needs time to send the replies that it has queued.
        await anyio.sleep(SHUTDOWN_DELAY_S)
        closed.set()
        group.cancel_scope.cancel()


def run_frontend(settings: Settings) -> None:
    """Run a front end process; blocks until it has stopped."""
    anyio.run(serve_frontend, settings)


def run_scheduler(settings: Settings) -> None:
    """Run a scheduler process; blocks until it has stopped."""
    anyio.run(serve_scheduler, settings)
