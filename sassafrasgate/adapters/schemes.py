"""Registries of store and worker clients by URL scheme."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from sassafrasgate.adapters.store import Store
from sassafrasgate.adapters.workers import WorkerClient
from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

STORES: Registry[str, Callable[..., Store]] = Registry('store URL scheme')
WORKERS: Registry[str, Callable[..., WorkerClient]] = Registry(
    'worker URL scheme'
)


@STORES.register('http')
def _open_http_store(url: str, **options: Any) -> Store:
    return Store(url, **options)


@WORKERS.register('http')
def _open_http_worker(url: str, **options: Any) -> WorkerClient:
    return WorkerClient(url, **options)


def open_store(url: str, **options: Any) -> Store:
    """Return a store client for a URL.

    Parameters
    ----------
    url : str
        Base URL; its scheme selects the client class.
    **options
        Keyword arguments of the client, such as ``timeout_s``.

    Raises
    ------
    UnknownNameError
        When no client is registered for the URL's scheme.
    """
    return STORES.find(urlsplit(url).scheme)(url, **options)


def open_worker(url: str, **options: Any) -> WorkerClient:
    """Return a worker client for a URL; see `open_store`."""
    return WORKERS.find(urlsplit(url).scheme)(url, **options)
