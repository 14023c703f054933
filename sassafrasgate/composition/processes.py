"""What the composition of every kind of process has in common."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from logbook import Logger

from sassafrasgate.adapters.schemes import open_store
from sassafrasgate.configuration.settings import Settings
from sassafrasgate.core.identifiers import make_incarnation
from sassafrasgate.daemons.leases import Member
from sassafrasgate.journal.rate_limits import StoreRateLimiter
from sassafrasgate.observability.logs import configure_logging
from sassafrasgate.observability.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LEASE_TIMEOUT_S = 0.8
FRONTEND_TTL_MS = 10_000
READY_DRAIN_S = 1.0
SHARE_INTERVAL_S = 2.0
# A front end only keeps its lease and publishes configurations.
SHARE_WEIGHTS = {'scheduler': 8, 'frontend': 1}


@dataclass(frozen=True, slots=True)
class Process:
    """What front ends and schedulers have in common.

    Parameters
    ----------
    settings : Settings
        Of this process.
    member : Member
        How it announces itself.
    budget : StoreRateLimiter
        Its share of the store's calls, which all clients draw on.
    store, watch_store, lease_store : Store
        Clients for general calls, the watch, and the lease, which must
        not wait for one another.
    """

    settings: Settings
    member: Member
    budget: StoreRateLimiter
    store: Any
    watch_store: Any
    lease_store: Any
    metrics: Metrics
    logger: Logger


@asynccontextmanager
async def open_process(
    settings: Settings, role: str
) -> AsyncIterator[Process]:
    """Open logs, metrics and store clients of a process."""
    configure_logging(settings.log_level, settings.name)
    member = Member(
        settings.name,
        make_incarnation(),
        role,
        settings.link_address,
        settings.failure_domain,
    )
    # Until the live processes are known, the settings' peers are taken for
    # the entry hosts, each with a front end and a scheduler.
    share = 2 * (len(settings.peers) + 1)
    budget = StoreRateLimiter(
        settings.writes_per_s / share, settings.reads_per_s / share
    )
    async with (
        open_store(settings.store_url, rate_limiter=budget) as store,
        open_store(settings.store_url, rate_limiter=budget) as watch_store,
        open_store(
            settings.store_url, timeout_s=LEASE_TIMEOUT_S, rate_limiter=budget
        ) as lease_store,
    ):
        yield Process(
            settings,
            member,
            budget,
            store,
            watch_store,
            lease_store,
            Metrics(),
            Logger(f'sassafrasgate.{role}'),
        )
