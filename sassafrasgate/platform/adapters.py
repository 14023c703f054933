"""Registers the adapters of the users' platform."""

from __future__ import annotations

from typing import Any

from sassafrasgate.adapters.entry import ENTRY_ADAPTERS
from sassafrasgate.adapters.entry import EntryAdapters
from sassafrasgate.daemons.watches import RegistrationSource
from sassafrasgate.daemons.watches import RoutingTableSource
from sassafrasgate.platform.advice import AdviceClient
from sassafrasgate.platform.callers import CallerApplication
from sassafrasgate.platform.callers import ReadyApplication
from sassafrasgate.platform.registrations import read_registration
from sassafrasgate.platform.registrations import REGISTRATION_PREFIX
from sassafrasgate.platform.routing import OPERATOR_PREFIX
from sassafrasgate.platform.routing import read_routing_table
from sassafrasgate.platform.routing import TABLE_KEY
from sassafrasgate.platform.store import PlatformStore
from sassafrasgate.platform.workers import PlatformWorkerClient

PLATFORM_NAME = 'kv'


def open_platform_store(address: str, **options: Any) -> PlatformStore:
    """Return a client of the store at an IP address and port."""
    return PlatformStore(f'http://{address}', **options)


ENTRY_ADAPTERS.register(PLATFORM_NAME)(
    EntryAdapters(
        open_platform_store,
        PlatformWorkerClient,
        AdviceClient,
        RoutingTableSource(OPERATOR_PREFIX, TABLE_KEY, read_routing_table),
        RegistrationSource(REGISTRATION_PREFIX, read_registration),
        CallerApplication,
        ReadyApplication,
    )
)
