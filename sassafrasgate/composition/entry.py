"""Wires the process of an entry host."""

from __future__ import annotations

from dataclasses import fields
from signal import SIGHUP
from signal import Signals
from typing import Any
from typing import cast
from typing import TYPE_CHECKING

import anyio
from logbook import Logger

from sassafrasgate.adapters.entry import ENTRY_ADAPTERS
from sassafrasgate.composition.runtime import make_inbox
from sassafrasgate.composition.runtime import wait_for_stop
from sassafrasgate.configuration.entry_settings import load_entry_settings
from sassafrasgate.configuration.settings import SettingsError
from sassafrasgate.core.identifiers import make_incarnation
from sassafrasgate.daemons.advice import AdviceTask
from sassafrasgate.daemons.advice_routing import AdviceRouter
from sassafrasgate.daemons.control import ControlWatchTask
from sassafrasgate.daemons.counters import CounterTask
from sassafrasgate.daemons.directory import Directory
from sassafrasgate.daemons.dispatcher import DispatcherServices
from sassafrasgate.daemons.election import OwnerElection
from sassafrasgate.daemons.entry import EntryTask
from sassafrasgate.daemons.entry_messages import LinkClosed
from sassafrasgate.daemons.gateways import EntryGateway
from sassafrasgate.daemons.leases import LeaseTask
from sassafrasgate.daemons.leases import Member
from sassafrasgate.daemons.messages import StopProcess
from sassafrasgate.daemons.relays import relay_through_peers
from sassafrasgate.daemons.relays import RelayedStore
from sassafrasgate.daemons.watches import PrefixWatch
from sassafrasgate.daemons.watches import RegistrationTask
from sassafrasgate.daemons.watches import RoutingTableTask
from sassafrasgate.daemons.workers import CALL_TIMEOUT_S
from sassafrasgate.http.application import build_application
from sassafrasgate.http.limits import Limits
from sassafrasgate.http.routes import RouteGroup
from sassafrasgate.http.server import serve_http
from sassafrasgate.journal.rate_limits import StoreRateLimiter
from sassafrasgate.observability.clocks import wall_ms
from sassafrasgate.observability.logs import configure_logging
from sassafrasgate.observability.logs import log_event
from sassafrasgate.observability.logs import open_standard_output
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.protocol.links import LinkServer
from sassafrasgate.protocol.messages import Heartbeat

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path
    from socket import socket

    from sassafrasgate.configuration.entry_settings import EntrySettings
    from sassafrasgate.http.gateways import Gateway

LEASE_TIMEOUT_S = 0.7
# One host, the owner, makes most of the calls; the others renew and watch.
BUDGET_SHARE = 0.6
# Operators' changes that come in quick succession share a call.
TABLE_PAUSE_S = 0.2
REGISTRATION_PAUSE_S = 0.4
# The load balancer takes a host out after two misses, a second apart.
READY_DRAIN_S = 2.6
# Settings that a reload puts in force.
APPLIED = frozenset({'writes_per_s', 'reads_per_s'})
# Longest time that callers' connections wait for the first routing table.
TABLE_WAIT_S = 1.0
# Time for open requests to end before the process is killed.
STOP_MARGIN_S = 1.2


async def follow_reloads(
    signals: AsyncIterator[Signals],
    path: Path,
    settings: EntrySettings,
    budget: StoreRateLimiter,
    logger: Logger,
) -> None:
    """Read the settings again at each signal.

    The store's rates take effect at once; other settings need a restart,
    which the log line says.
    """
    async for _ in signals:
        try:
            changed = load_entry_settings(path)
        except SettingsError as error:
            logger.warning('the settings are left as they were: {}', error)
            continue
        names = tuple(
            field.name
            for field in fields(changed)
            if getattr(changed, field.name) != getattr(settings, field.name)
        )
        settings = changed
        await budget.set_rates(
            settings.writes_per_s * BUDGET_SHARE,
            settings.reads_per_s * BUDGET_SHARE,
        )
        log_event(
            logger,
            'reload',
            (
                ('changed', ','.join(names)),
                ('needs_restart', ','.join(set(names) - APPLIED)),
            ),
        )


async def serve_entry(path: Path, listener: socket | None = None) -> None:
    """Run the process of an entry host until it is told to stop."""
    # A reload that is asked for from here on is carried out: the settings
    # are read after this point.
    with anyio.open_signal_receiver(SIGHUP) as signals:
        await _serve_entry(path, signals, listener)


async def _serve_entry(
    path: Path, signals: AsyncIterator[Signals], listener: socket | None
) -> None:
    settings = load_entry_settings(path)
    configure_logging(
        settings.log_level, settings.name, open_standard_output()
    )
    logger = Logger('sassafrasgate.entry')
    adapters = ENTRY_ADAPTERS.find(settings.platform)
    metrics = Metrics()
    member = Member(
        settings.name,
        make_incarnation(),
        'entry',
        settings.link_address,
        settings.failure_domain,
        settings.processor_share * settings.processor_speed,
        wall_ms(),
    )
    log_event(
        logger,
        'start',
        (('incarnation', member.incarnation), ('settings', repr(settings))),
    )
    budget = StoreRateLimiter(
        settings.writes_per_s * BUDGET_SHARE,
        settings.reads_per_s * BUDGET_SHARE,
    )
    stop = anyio.Event()
    closed = anyio.Event()

    def open_store(**options: Any) -> Any:
        return adapters.open_store(
            settings.store_address, rate_limiter=budget, **options
        )

    async with (
        open_store() as direct_store,
        open_store() as watch_store,
        open_store() as table_store,
        open_store() as direct_registration_store,
        open_store(timeout_s=LEASE_TIMEOUT_S) as direct_lease_store,
        anyio.create_task_group() as group,
    ):
        main, advisers = make_inbox(), make_inbox()

        def relay(store: Any) -> RelayedStore:
            return RelayedStore(
                store,
                lambda call, timeout_s: relay_through_peers(
                    directory, member.name, call, timeout_s
                ),
                logger,
            )

        store, lease_store = relay(direct_store), relay(direct_lease_store)
        registration_store = relay(direct_registration_store)

        def make_heartbeat() -> Heartbeat:
            return Heartbeat(settings.name, task.version)

        def handle_heartbeat(heartbeat: Heartbeat) -> None:
            return

        async def follow_workers(listener: Any) -> None:
            watch = PrefixWatch(
                registration_store,
                adapters.registrations.prefix,
                REGISTRATION_PAUSE_S,
            )
            await RegistrationTask(
                watch, adapters.registrations, listener
            ).run()

        def handle_disconnect(address: str) -> None:
            try:
                main.send.send_nowait(LinkClosed(address))
            except anyio.WouldBlock:
                # The owner's lease shows its end a little later.
                return

        directory = Directory(
            group, (), make_heartbeat, handle_heartbeat, handle_disconnect
        )
        server = LinkServer(
            settings.link_address,
            lambda request: task.handle_request(request),
            make_heartbeat,
            handle_heartbeat,
        )
        election = OwnerElection(member, store, directory, logger)
        advice_router = AdviceRouter(
            member.name, directory, advisers.send, server.reply
        )
        services = DispatcherServices(
            f'{member.name}/{member.incarnation}',
            member.name,
            store,
            direct_store,
            server.reply,
            lambda worker, address: adapters.open_worker(
                worker, address, CALL_TIMEOUT_S
            ),
            advice_router.request_advice,
            follow_workers,
            election.has_ended,
            election.hand_over,
            logger,
            metrics,
        )
        task = EntryTask(
            member,
            services,
            directory,
            election,
            main.receive,
            advisers.send,
            main.send.send,
        )
        gateway = EntryGateway(member.name, task)
        lease = LeaseTask(
            lease_store,
            member,
            main.send,
            int(settings.owner_ttl_s * 1000),
            int(settings.outage_grace_s * 1000),
        )
        table = RoutingTableTask(
            PrefixWatch(
                table_store, adapters.routing_table.prefix, TABLE_PAUSE_S
            ),
            adapters.routing_table,
            main.send,
            logger,
        )
        counts = CounterTask(
            (store, watch_store, table_store, registration_store, lease_store),
            lambda: (link.counts for link in directory.list_links()),
            metrics,
        )
        group.start_soon(budget.run)
        group.start_soon(lease.run)
        group.start_soon(ControlWatchTask(watch_store, (main.send,)).run)
        group.start_soon(table.run)
        group.start_soon(counts.run)
        group.start_soon(
            AdviceTask(
                adapters.open_advice_client(settings.advice_address),
                advisers.receive,
            ).run
        )
        group.start_soon(server.run)
        group.start_soon(task.run)
        group.start_soon(wait_for_stop, stop)
        group.start_soon(
            follow_reloads, signals, path, settings, budget, logger
        )
        group.start_soon(
            serve_http,
            build_application(
                cast('Gateway', gateway),
                metrics,
                Limits(),
                frozenset({RouteGroup.HEALTH}),
            ),
            settings.metrics_address,
            closed,
            0.0,
        )
        group.start_soon(
            serve_http,
            adapters.build_ready_application(gateway),
            settings.ready_address,
            closed,
            0.0,
        )

        async def close_later() -> None:
            await stop.wait()
            await main.send.send(StopProcess())
            await anyio.sleep(READY_DRAIN_S)
            closed.set()

        group.start_soon(close_later)
        with anyio.move_on_after(TABLE_WAIT_S):
            # Until then every request would be refused.
            await task.has_table.wait()
        await serve_http(
            adapters.build_caller_application(gateway, logger, metrics),
            settings.caller_address,
            closed,
            max(0.0, settings.stop_s - READY_DRAIN_S - STOP_MARGIN_S),
            listener=listener,
        )
        log_event(logger, 'stopped', (('incarnation', member.incarnation),))
        group.cancel_scope.cancel()


def run_entry(path: Path, listener: socket | None = None) -> None:
    """Run the process of an entry host; blocks until it has stopped.

    Parameters
    ----------
    path : Path
        YAML file with its settings.
    listener : socket, optional
        Listens on the callers' address already.

    Raises
    ------
    SettingsError
        When the file has faults.
    """
    anyio.run(serve_entry, path, listener)
