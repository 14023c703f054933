"""Set-up that front ends and schedulers have in common."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any
from typing import TYPE_CHECKING

from logbook import Logger

from sassafrasgate.adapters.response_limits import MIB
from sassafrasgate.adapters.response_limits import ResponseBudget
from sassafrasgate.adapters.schemes import open_store
from sassafrasgate.configuration.settings import Settings
from sassafrasgate.core.identifiers import make_incarnation
from sassafrasgate.daemons.leases import Member
from sassafrasgate.journal.rate_limits import StoreRateLimiter
from sassafrasgate.observability.failures import FailureRecorder
from sassafrasgate.observability.logs import configure_logging
from sassafrasgate.observability.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LEASE_CALL_TIMEOUT_S = 0.8
FRONTEND_LEASE_TTL_MS = 10_000
# Time for the load balancer to see that a front end is not ready, or for a
# scheduler to send its queued replies.
SHUTDOWN_DELAY_S = 1.0
RATE_UPDATE_INTERVAL_S = 2.0
# Relative shares of the cell's rates of store calls, by role. A front end
# makes few calls: it only renews its lease and publishes configurations.
RATE_WEIGHTS = {'scheduler': 8, 'frontend': 1}


@dataclass(frozen=True, slots=True)
class Process:
    """Objects that the tasks of a front end or scheduler share.

    Parameters
    ----------
    settings : Settings
        Settings of this process.
    member : Member
        Member entry of this process.
    rate_limiter : StoreRateLimiter
        Limits the store calls of all three clients together to this process's
        share of the cell's rates.
    store, watch_store, lease_store : Store
        Store clients for general calls, for the watch and for the lease.
        They are separate so that the calls do not wait for one another.
    metrics : Metrics
        Metrics of this process.
    logger : Logger
        Logger of this process, named after its role.
    budget : ResponseBudget
        Budget for responses that all clients of this process share.
    """

    settings: Settings
    member: Member
    rate_limiter: StoreRateLimiter
    store: Any
    watch_store: Any
    lease_store: Any
    metrics: Metrics
    logger: Logger
    budget: ResponseBudget


@asynccontextmanager
async def open_process(
    settings: Settings, role: str
) -> AsyncIterator[Process]:
    """Set up the logging, metrics and store clients of a process."""
    configure_logging(settings.log_level, settings.name)
    member = Member(
        settings.name,
        make_incarnation(),
        role,
        settings.link_address,
        settings.failure_domain,
    )
    # Until the live processes are known, assume that this process and each
    # peer in the settings run on an entry host of their own, and that every
    # entry host runs a front end and a scheduler.
    processes = 2 * (len(settings.peers) + 1)
    rate_limiter = StoreRateLimiter(
        settings.writes_per_s / processes, settings.reads_per_s / processes
    )
    logger = Logger(f'sassafrasgate.{role}')
    metrics = Metrics()
    budget = ResponseBudget(
        settings.response_memory_mib * MIB,
        FailureRecorder(logger, metrics).record_cut_off,
    )
    open_client = partial(
        open_store,
        settings.store_url,
        rate_limiter=rate_limiter,
        budget=budget,
    )
    async with (
        open_client() as store,
        open_client() as watch_store,
        open_client(timeout_s=LEASE_CALL_TIMEOUT_S) as lease_store,
    ):
        yield Process(
            settings,
            member,
            rate_limiter,
            store,
            watch_store,
            lease_store,
            metrics,
            logger,
            budget,
        )
