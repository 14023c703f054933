"""Tasks that watch the routing table and the workers' registrations."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import InputError
from sassafrasgate.core.errors import InvalidEntryError
from sassafrasgate.core.items import Changes
from sassafrasgate.core.items import Item
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.core.workers import Registration
from sassafrasgate.dispatch.events import RegistrationsConfirmed
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.dispatch.events import WorkerRegistered
from sassafrasgate.dispatch.events import WorkersListed
from sassafrasgate.dispatch.events import WorkerUnregistered

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.daemons.prefix_watches import PrefixWatch
    from sassafrasgate.observability.failures import InvalidEntryLog


@dataclass(frozen=True, slots=True)
class RoutingTableSource:
    """The store key of the operators' routing table, and its decoder.

    Parameters
    ----------
    prefix : str
        Prefix to watch.
    key : str
        Key of the routing table.
    read : callable
        Decodes the key's value; raises `InputError` if it is invalid.
    """

    prefix: str
    key: str
    read: Callable[[bytes], RoutingTable]


@dataclass(frozen=True, slots=True)
class RegistrationSource:
    """The store keys of the workers' registrations, and their decoder.

    Parameters
    ----------
    prefix : str
        Prefix of the keys.
    read : callable
        Decodes an item; raises `InvalidEntryError` if it is invalid.
    """

    prefix: str
    read: Callable[[Item], Registration]


class RoutingTableTask:
    """Sends each newer routing table to a listener.

    Parameters
    ----------
    watch : PrefixWatch
        Watch of the source's prefix.
    source : RoutingTableSource
        Key and decoder of the table.
    listener : MemoryObjectSendStream
        Receives `TableChanged`.
    invalid_entries : InvalidEntryLog
        Records invalid tables.
    """

    def __init__(
        self,
        watch: PrefixWatch,
        source: RoutingTableSource,
        listener: MemoryObjectSendStream[Any],
        invalid_entries: InvalidEntryLog,
    ) -> None:
        self._watch = watch
        self._source = source
        self._listener = listener
        self._invalid_entries = invalid_entries
        self._version = 0

    async def run(self) -> None:
        """Follow the key until cancelled."""
        await self._watch.run(self._handle_list, self._handle_items)

    async def _handle_list(self, listed: Changes) -> None:
        await self._handle_items(listed.items)

    async def _handle_items(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key != self._source.key or item.value is None:
                continue
            try:
                table = self._source.read(item.value)
            except InputError as error:
                # The table in force stays until there is a valid one.
                self._invalid_entries.record(
                    InvalidEntryError(item.key, item.revision, str(error))
                )
                continue
            self._invalid_entries.forget(item.key)
            if table.version > self._version:
                self._version = table.version
                await self._listener.send(TableChanged(table))


class RegistrationTask:
    """Sends the workers' registrations to the dispatcher.

    Parameters
    ----------
    watch : PrefixWatch
        Watch of the source's prefix.
    source : RegistrationSource
        Prefix and decoder of the registrations.
    listener : MemoryObjectSendStream
        Receives `WorkersListed`, `WorkerRegistered`, `WorkerUnregistered`
        and `RegistrationsConfirmed`.
    invalid_entries : InvalidEntryLog
        Records entries that cannot be used.
    """

    def __init__(
        self,
        watch: PrefixWatch,
        source: RegistrationSource,
        listener: MemoryObjectSendStream[Any],
        invalid_entries: InvalidEntryLog,
    ) -> None:
        self._watch = watch
        self._source = source
        self._listener = listener
        self._invalid_entries = invalid_entries
        # Revision of the newest state of each key that was passed on.
        self._revisions: dict[str, int] = {}

    async def run(self) -> None:
        """Follow the registrations until cancelled."""
        await self._watch.run(self._handle_list, self._handle_changes)

    async def _handle_list(self, listed: Changes) -> None:
        self._revisions = {item.key: item.revision for item in listed.items}
        self._invalid_entries.forget_all_but(set(self._revisions))
        found = [self._read(item) for item in listed.items]
        await self._listener.send(
            WorkersListed(tuple(entry for entry in found if entry))
        )
        await self._send_confirmation()

    async def _handle_changes(self, items: tuple[Item, ...]) -> None:
        newest = {item.key: item for item in items}
        for key, item in newest.items():
            # A long list is read in several calls. The watch then repeats
            # changes that the later of these calls have returned already.
            if item.revision <= self._revisions.get(key, 0):
                continue
            self._revisions[key] = item.revision
            await self._send_change(item)
        await self._send_confirmation()

    def _read(self, item: Item) -> Registration | None:
        """Return the registration in an item; None if it cannot be used.

        No value may end the watch, on which all other workers depend.
        """
        try:
            registration = self._source.read(item)
        except InvalidEntryError as error:
            self._invalid_entries.record(error)
            return None
        except Exception as error:
            self._invalid_entries.failures.record(
                'registration', error, (('key', item.key),)
            )
            return None
        self._invalid_entries.forget(item.key)
        return registration

    async def _send_confirmation(self) -> None:
        await self._listener.send(
            RegistrationsConfirmed(self._watch.freshness.confirmed_at)
        )

    async def _send_change(self, item: Item) -> None:
        entry = None
        if item.value is not None:
            entry = self._read(item)
        else:
            self._invalid_entries.forget(item.key)
        if entry is not None:
            await self._listener.send(WorkerRegistered(entry))
            return
        await self._listener.send(
            WorkerUnregistered(item.key.removeprefix(self._source.prefix))
        )
