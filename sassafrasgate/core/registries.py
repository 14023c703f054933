"""Registries that decorators fill."""

from __future__ import annotations

from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

from sassafrasgate.core.errors import DuplicateNameError
from sassafrasgate.core.errors import UnknownNameError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

Key = TypeVar('Key')
Item = TypeVar('Item')


class Registry(Generic[Key, Item]):
    """Table of implementations by key, filled at import time by decorators.

    Parameters
    ----------
    kind : str
        What the registry holds; used in error messages.

    Examples
    --------
    >>> policies = Registry('job class policy')
    >>> @policies.register('batch')
    ... class BatchPolicy: ...
    >>> policies.find('batch').__name__
    'BatchPolicy'
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._items: dict[Key, Item] = {}

    def register(self, key: Key) -> Callable[[Item], Item]:
        """Return a decorator that registers its target under ``key``.

        Raises
        ------
        DuplicateNameError
            When ``key`` is already registered.
        """

        def add_item(item: Item) -> Item:
            if key in self._items:
                raise DuplicateNameError(self._kind, str(key))
            self._items[key] = item
            return item

        return add_item

    def find(self, key: Key) -> Item:
        """Return the item registered under ``key``.

        Raises
        ------
        UnknownNameError
            When nothing is registered under ``key``.
        """
        if key not in self._items:
            known = tuple(sorted(str(known) for known in self._items))
            raise UnknownNameError(self._kind, str(key), known)
        return self._items[key]

    def __contains__(self, key: object) -> bool:
        return key in self._items

    def __iter__(self) -> Iterator[Key]:
        return iter(self._items)
