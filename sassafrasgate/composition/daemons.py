"""Wires front ends and schedulers."""

from __future__ import annotations

from typing import Any
from typing import cast
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.composition.processes import FRONTEND_TTL_MS
from sassafrasgate.composition.processes import open_process
from sassafrasgate.composition.processes import Process
from sassafrasgate.composition.processes import READY_DRAIN_S
from sassafrasgate.composition.processes import SHARE_INTERVAL_S
from sassafrasgate.composition.processes import SHARE_WEIGHTS
from sassafrasgate.composition.runtime import Inbox
from sassafrasgate.composition.runtime import make_inbox
from sassafrasgate.composition.runtime import wait_for_stop
from sassafrasgate.daemons.configurations import ConfigurationTask
from sassafrasgate.daemons.configurations import PeerVersionReceived
from sassafrasgate.daemons.control import ControlWatchTask
from sassafrasgate.daemons.counters import CounterTask
from sassafrasgate.daemons.directory import Directory
from sassafrasgate.daemons.leases import LeaseTask
from sassafrasgate.protocol.messages import Heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.configuration.settings import Settings
    from sassafrasgate.http.gateways import Gateway


def make_greeting(
    name: str, find_version: Callable[[], int]
) -> Callable[[], Heartbeat]:
    """Return the function that makes this process's heartbeats."""

    def make_heartbeat() -> Heartbeat:
        return Heartbeat(name, find_version())

    return make_heartbeat


def make_listener(
    configurations: MemoryObjectSendStream[Any],
) -> Callable[[Heartbeat], None]:
    """Return the function that passes heard versions on."""
    heard: dict[str, int] = {}

    def handle_heartbeat(heartbeat: Heartbeat) -> None:
        # Only news is passed on, so that the inbox can't fill up.
        if heard.get(heartbeat.sender, -1) >= heartbeat.configuration:
            return
        heard[heartbeat.sender] = heartbeat.configuration
        try:
            configurations.send_nowait(
                PeerVersionReceived(heartbeat.sender, heartbeat.configuration)
            )
        except anyio.WouldBlock:
            del heard[heartbeat.sender]

    return handle_heartbeat


def start_common_tasks(
    process: Process,
    directory: Directory,
    group: TaskGroup,
    main: Inbox,
    configurations: Inbox,
    ttl_ms: int,
) -> None:
    """Start the budget, the lease, the watch and the configuration."""
    lease = LeaseTask(
        process.lease_store,
        process.member,
        main.send,
        ttl_ms,
        int(process.settings.outage_grace_s * 1000),
    )
    control = ControlWatchTask(
        process.watch_store, (main.send, configurations.send)
    )
    configuration = ConfigurationTask(
        process.store,
        directory.broadcast_request,
        configurations.receive,
        (main.send,),
    )
    group.start_soon(process.budget.run)
    group.start_soon(lease.run)
    group.start_soon(control.run)
    group.start_soon(configuration.run)
    group.start_soon(follow_share, process, directory)
    counts = CounterTask(
        (process.store, process.watch_store, process.lease_store),
        lambda: (link.counts for link in directory.list_links()),
        process.metrics,
    )
    group.start_soon(counts.run)
    directory.connect_peers()


async def follow_share(process: Process, directory: Directory) -> None:
    """Divide the cell's share of the store among the live processes."""
    settings = process.settings
    known = 0.0
    while True:
        await anyio.sleep(SHARE_INTERVAL_S)
        weights = [
            SHARE_WEIGHTS.get(member.role, 1)
            for member in directory.members.values()
        ]
        if not weights:
            continue
        share = SHARE_WEIGHTS[process.member.role] / sum(weights)
        if share == known:
            continue
        known = share
        await process.budget.set_rates(
            settings.writes_per_s * share, settings.reads_per_s * share
        )


async def serve_frontend(settings: Settings) -> None:
    """Run a front end process until it is told to stop."""
    # HTTP is imported here, since a scheduler's callers do not need it.
    from sassafrasgate.daemons.frontend import FrontendTask
    from sassafrasgate.http.application import build_application
    from sassafrasgate.http.limits import Limits
    from sassafrasgate.http.server import serve_http

    stop = anyio.Event()
    closed = anyio.Event()
    async with (
        open_process(settings, 'frontend') as process,
        anyio.create_task_group() as group,
    ):
        main, configurations = make_inbox(), make_inbox()
        directory = Directory(
            group,
            settings.peers,
            make_greeting(settings.name, lambda: task.version),
            make_listener(configurations.send),
        )
        task = FrontendTask(
            settings.name,
            directory,
            process.store,
            main.receive,
            configurations.send,
            process.logger,
            process.metrics,
        )
        application = build_application(task, process.metrics, Limits())
        start_common_tasks(
            process, directory, group, main, configurations, FRONTEND_TTL_MS
        )
        group.start_soon(task.run)
        group.start_soon(wait_for_stop, stop)

        async def close_later() -> None:
            await stop.wait()
            task.stop()
            # The load balancer needs to see that the process is not ready
            # before the listening socket closes.
            await anyio.sleep(READY_DRAIN_S)
            closed.set()

        group.start_soon(close_later)
        await serve_http(
            application, settings.http_address, closed, settings.drain_s
        )
        group.cancel_scope.cancel()


async def serve_scheduler(settings: Settings) -> None:
    """Run a scheduler process until it is told to stop."""
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
        main, configurations = make_inbox(), make_inbox()
        hear_version = make_listener(configurations.send)

        def make_heartbeat() -> Heartbeat:
            # Summaries ride on the heartbeats, which flow anyway.
            return Heartbeat(
                settings.name, task.version, task.list_summaries()
            )

        def handle_heartbeat(heartbeat: Heartbeat) -> None:
            hear_version(heartbeat)
            task.receive_summaries(heartbeat.summaries)

        directory = Directory(
            group, settings.peers, make_heartbeat, handle_heartbeat
        )
        server = LinkServer(
            settings.link_address,
            lambda request: task.handle_request(request),
            make_heartbeat,
            handle_heartbeat,
        )
        services = ShardServices(
            f'{process.member.name}/{process.member.incarnation}',
            process.store,
            server.reply,
            directory.send_request,
            lambda summary: task.update_summary(summary),
            process.logger,
            process.metrics,
        )
        task = SchedulerTask(
            process.member,
            services,
            directory,
            main.receive,
            int(settings.drain_s * 1000),
        )
        start_common_tasks(
            process,
            directory,
            group,
            main,
            configurations,
            int(settings.owner_ttl_s * 1000),
        )
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

        async def pass_stop_on() -> None:
            await stop.wait()
            await main.send.send(StopProcess())

        group.start_soon(pass_stop_on)
        await task.run()
        # Answers that are queued on the link server still have to leave.
        await anyio.sleep(READY_DRAIN_S)
        closed.set()
        group.cancel_scope.cancel()


def run_frontend(settings: Settings) -> None:
    """Run a front end process; blocks until it has stopped."""
    anyio.run(serve_frontend, settings)


def run_scheduler(settings: Settings) -> None:
    """Run a scheduler process; blocks until it has stopped."""
    anyio.run(serve_scheduler, settings)
