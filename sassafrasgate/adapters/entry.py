"""Registry of the platform adapters that entry hosts use."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from sassafrasgate.adapters.response_limits import ResponseBudget
from sassafrasgate.core.registries import Registry
from sassafrasgate.daemons.watches import RegistrationSource
from sassafrasgate.daemons.watches import RoutingTableSource


@dataclass(frozen=True, slots=True)
class EntryAdapters:
    """The adapters through which an entry host uses one platform.

    Parameters
    ----------
    open_store : callable
        Returns a client of the store, from its address and the keyword
        arguments of `sassafrasgate.adapters.base_client.BaseStoreClient`.
    open_worker : callable
        Returns a client of a worker, from its id, its address, the maximum
        duration of a call in seconds and the `ResponseBudget`.
    open_advice_client : callable
        Returns a client of the advice service, from its address and the
        `ResponseBudget`.
    routing_table : RoutingTableSource
        Store key and decoder of the operators' routing table.
    registrations : RegistrationSource
        Store keys and decoder of the workers' registrations.
    build_caller_application : callable
        Returns the ASGI application that serves callers, from the gateway, a
        logger and the process's metrics.
    build_ready_application : callable
        Returns the ASGI application that the load balancer probes, from the
        gateway.
    """

    open_store: Callable[..., Any]
    open_worker: Callable[[str, str, float, ResponseBudget], Any]
    open_advice_client: Callable[[str, ResponseBudget], Any]
    routing_table: RoutingTableSource
    registrations: RegistrationSource
    build_caller_application: Callable[..., Any]
    build_ready_application: Callable[..., Any]


ENTRY_ADAPTERS: Registry[str, EntryAdapters] = Registry('platform')
