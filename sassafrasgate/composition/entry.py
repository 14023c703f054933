"""Composition of the tasks of an entry host's daemon."""

from __future__ import annotations

from dataclasses import fields
from functools import partial
from signal import SIGHUP
from signal import Signals
from typing import Any
from typing import cast
from typing import TYPE_CHECKING

import anyio
from logbook import Logger

from sassafrasgate.adapters.entry import ENTRY_ADAPTERS
from sassafrasgate.adapters.response_limits import MIB
from sassafrasgate.adapters.response_limits import ResponseBudget
from sassafrasgate.composition.runtime import make_inbox
from sassafrasgate.composition.runtime import wait_for_stop
from sassafrasgate.configuration.entry_settings import load_entry_settings
from sassafrasgate.configuration.settings import SettingsError
from sassafrasgate.core.identifiers import make_incarnation
from sassafrasgate.daemons.advice import AdviceTask
from sassafrasgate.daemons.advice_routing import AdviceRouter
from sassafrasgate.daemons.claim_pauses import request_pauses
from sassafrasgate.daemons.control import CONTROL_PREFIX
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
from sassafrasgate.daemons.prefix_watches import PrefixWatch
from sassafrasgate.daemons.relays import relay_through_peers
from sassafrasgate.daemons.relays import RelayedStore
from sassafrasgate.daemons.watches import RegistrationTask
from sassafrasgate.daemons.watches import RoutingTableTask
from sassafrasgate.daemons.workers import CALL_TIMEOUT_S
from sassafrasgate.http.admission import compute_budget
from sassafrasgate.http.admission import PROBE_BUDGET
from sassafrasgate.http.application import build_application
from sassafrasgate.http.body_buffers import BodyBuffer
from sassafrasgate.http.guards import ConnectionGuard
from sassafrasgate.http.limits import Limits
from sassafrasgate.http.routes import RouteGroup
from sassafrasgate.http.server import serve_http
from sassafrasgate.journal.rate_limits import StoreRateLimiter
from sassafrasgate.observability.clocks import wall_ms
from sassafrasgate.observability.failures import FailureRecorder
from sassafrasgate.observability.failures import InvalidEntryLog
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

LEASE_CALL_TIMEOUT_S = 0.7
# Share of the entry hosts' total rates of store calls that each host may use.
# The owner makes most of the calls; the other hosts only renew their leases
# and watch keys.
MAX_RATE_SHARE = 0.6
# Pauses before the next watch call, so that changes in quick succession, such
# as operators' changes of the routing table, share a call.
TABLE_WATCH_PAUSE_S = 0.2
REGISTRATION_WATCH_PAUSE_S = 0.4
# Shorter than that of the other watches, which every host has: only the owner
# watches the registrations, and a change may have to wait for a relayed call.
REGISTRATION_WATCH_WAIT_S = 1.0
# Time between reporting not ready and closing the listening socket. The load
# balancer removes a host after two failed probes, which are one second apart.
SHUTDOWN_DELAY_S = 2.6
# Settings that a reload applies without a restart.
RELOADABLE_SETTINGS = frozenset({'writes_per_s', 'reads_per_s'})
# Maximum time that callers' connections wait for the first routing table.
ROUTING_TABLE_TIMEOUT_S = 1.0
# Subtracted from `EntrySettings.stop_s`, so that open requests end before the
# process is killed.
STOP_MARGIN_S = 1.2


async def handle_reload_signals(
    signals: AsyncIterator[Signals],
    path: Path,
    settings: EntrySettings,
    rate_limiter: StoreRateLimiter,
    logger: Logger,
) -> None:
    """Read the settings again at each reload signal.

    The rates of store calls take effect at once. The other settings need a
    restart; the log line names those that have changed.
    """
    async for _ in signals:
        try:
            changed = load_entry_settings(path)
        except SettingsError as error:
            logger.warning(
                'reload failed, the settings stay unchanged: {}', error
            )
            continue
        names = tuple(
            field.name
            for field in fields(changed)
            if getattr(changed, field.name) != getattr(settings, field.name)
        )
        settings = changed
        await rate_limiter.set_rates(
            settings.writes_per_s * MAX_RATE_SHARE,
            settings.reads_per_s * MAX_RATE_SHARE,
        )
        log_event(
            logger,
            'reload',
            (
                ('changed', ','.join(names)),
                ('needs_restart', ','.join(set(names) - RELOADABLE_SETTINGS)),
            ),
        )


async def serve_entry(path: Path, listener: socket | None = None) -> None:
    """Run the daemon of an entry host until it gets a stop signal."""
    # No reload signal is lost: the settings are read only after the handler
    # for it has been installed.
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
    failures = FailureRecorder(logger, metrics)
    budget = ResponseBudget(
        settings.response_memory_mib * MIB, failures.record_cut_off
    )
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
    rate_limiter = StoreRateLimiter(
        settings.writes_per_s * MAX_RATE_SHARE,
        settings.reads_per_s * MAX_RATE_SHARE,
    )
    stop = anyio.Event()
    closed = anyio.Event()

    def open_store(**options: Any) -> Any:
        return adapters.open_store(
            settings.store_address,
            rate_limiter=rate_limiter,
            budget=budget,
            **options,
        )

    async with (
        open_store() as direct_store,
        open_store() as watch_store,
        open_store() as direct_table_store,
        open_store() as direct_registration_store,
        open_store(timeout_s=LEASE_CALL_TIMEOUT_S) as direct_lease_store,
        anyio.create_task_group() as group,
    ):
        main_inbox, advice_inbox = make_inbox(), make_inbox()

        def make_relayed_store(store: Any) -> RelayedStore:
            return RelayedStore(
                store,
                lambda call, timeout_s: relay_through_peers(
                    directory, member.name, call, timeout_s
                ),
                logger,
            )

        store, lease_store = (
            make_relayed_store(direct_store),
            make_relayed_store(direct_lease_store),
        )
        table_store = make_relayed_store(direct_table_store)
        registration_store = make_relayed_store(direct_registration_store)

        def make_heartbeat() -> Heartbeat:
            return Heartbeat(settings.name, task.version)

        def handle_heartbeat(heartbeat: Heartbeat) -> None:
            return

        control_watch = PrefixWatch(watch_store, CONTROL_PREFIX, failures)
        table_watch = PrefixWatch(
            table_store,
            adapters.routing_table.prefix,
            failures,
            TABLE_WATCH_PAUSE_S,
        )
        views = {control_watch.freshness, table_watch.freshness}

        async def watch_registrations(event_listener: Any) -> None:
            watch = PrefixWatch(
                registration_store,
                adapters.registrations.prefix,
                failures,
                REGISTRATION_WATCH_PAUSE_S,
                REGISTRATION_WATCH_WAIT_S,
            )
            views.add(watch.freshness)
            try:
                await RegistrationTask(
                    watch,
                    adapters.registrations,
                    event_listener,
                    InvalidEntryLog(failures, watch.prefix),
                ).run()
            finally:
                views.remove(watch.freshness)

        def handle_disconnect(address: str) -> None:
            try:
                main_inbox.send.send_nowait(LinkClosed(address))
            except anyio.WouldBlock:
                # The inbox is full. The expiry of the owner's lease shows
                # a little later that the owner has ended.
                return

        directory = Directory(
            group, (), make_heartbeat, handle_heartbeat, handle_disconnect
        )
        server = LinkServer(
            settings.link_address,
            lambda request: task.handle_request(request),
            make_heartbeat,
            handle_heartbeat,
            lambda error: failures.record('message', error),
        )
        election = OwnerElection(member, store, directory, logger)
        advice_router = AdviceRouter(
            member.name, directory, advice_inbox.send, server.reply
        )
        services = DispatcherServices(
            f'{member.name}/{member.incarnation}',
            member.name,
            store,
            direct_store,
            server.reply,
            lambda worker, address: adapters.open_worker(
                worker, address, CALL_TIMEOUT_S, budget
            ),
            advice_router.request_advice,
            watch_registrations,
            election.has_ended,
            election.hand_over,
            logger,
            metrics,
            settings.manages_overload,
            lambda witnesses: request_pauses(directory, member, witnesses),
        )
        task = EntryTask(
            member,
            services,
            directory,
            election,
            main_inbox.receive,
            advice_inbox.send,
            main_inbox.send.send,
        )
        gateway = EntryGateway(
            member.name,
            task,
            lambda: table_watch.freshness.age_ms,
            settings.max_key_age_ms,
        )
        guard = ConnectionGuard(
            compute_budget(settings.memory_mb, settings.max_descriptors),
            logger,
            metrics,
        )
        lease_task = LeaseTask(
            lease_store,
            member,
            main_inbox.send,
            int(settings.owner_ttl_s * 1000),
            int(settings.outage_grace_s * 1000),
            0,
        )
        table_task = RoutingTableTask(
            table_watch,
            adapters.routing_table,
            main_inbox.send,
            InvalidEntryLog(failures, table_watch.prefix),
        )
        counter_task = CounterTask(
            (store, watch_store, table_store, registration_store, lease_store),
            lambda: views,
            lambda: (
                *(link.counts for link in directory.list_links()),
                server.counts,
            ),
            metrics,
        )
        group.start_soon(rate_limiter.run)
        group.start_soon(guard.run)
        group.start_soon(lease_task.run)
        group.start_soon(
            ControlWatchTask(control_watch, (main_inbox.send,)).run
        )
        group.start_soon(table_task.run)
        group.start_soon(counter_task.run)
        group.start_soon(
            AdviceTask(
                adapters.open_advice_client(settings.advice_address, budget),
                advice_inbox.receive,
                failures,
            ).run
        )
        group.start_soon(server.run)
        group.start_soon(task.run)
        group.start_soon(wait_for_stop, stop)
        group.start_soon(
            handle_reload_signals,
            signals,
            path,
            settings,
            rate_limiter,
            logger,
        )
        serve_guarded = partial(serve_http, guard=guard)
        # Callers that use all of their connections leave the load balancer's
        # probes and the metrics alone.
        probe_guard = ConnectionGuard(
            PROBE_BUDGET, logger, metrics, publishes=False
        )
        group.start_soon(probe_guard.run)
        serve_probes = partial(serve_http, guard=probe_guard)
        group.start_soon(
            serve_probes,
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
            serve_probes,
            adapters.build_ready_application(gateway),
            settings.ready_address,
            closed,
            0.0,
        )

        async def close_after_stop() -> None:
            await stop.wait()
            await main_inbox.send.send(StopProcess())
            await anyio.sleep(SHUTDOWN_DELAY_S)
            closed.set()

        group.start_soon(close_after_stop)
        with anyio.move_on_after(ROUTING_TABLE_TIMEOUT_S):
            # Without a routing table, every request would be refused.
            await task.has_table.wait()
        application = adapters.build_caller_application(
            gateway, logger, metrics
        )
        await serve_guarded(
            BodyBuffer(application, application.reads_body),
            settings.caller_address,
            closed,
            max(0.0, settings.stop_s - SHUTDOWN_DELAY_S - STOP_MARGIN_S),
            listener=listener,
            get_limits=lambda: gateway.get_configuration().limits,
        )
        log_event(logger, 'stopped', (('incarnation', member.incarnation),))
        group.cancel_scope.cancel()


def run_entry(path: Path, listener: socket | None = None) -> None:
    """Run the daemon of an entry host; block until it has stopped.

    Parameters
    ----------
    path : Path
        YAML file with the settings of the daemon.
    listener : socket, optional
        Socket that already listens on the address for callers.

    Raises
    ------
    SettingsError
        When the settings file has faults.
    """
    anyio.run(serve_entry, path, listener)
