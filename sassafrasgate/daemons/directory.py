"""Live processes, shard owners, and the links to them."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.json import Decoder

from sassafrasgate.core.addresses import parse_address
from sassafrasgate.core.errors import InputError
from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.inputs import decode_input
from sassafrasgate.daemons.control import ControlChanged
from sassafrasgate.daemons.control import ControlListed
from sassafrasgate.daemons.leases import Member
from sassafrasgate.protocol.links import Link

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from sassafrasgate.configuration.settings import Peer
    from sassafrasgate.core.items import Item
    from sassafrasgate.protocol.messages import Heartbeat

MEMBER_PREFIX = 'control/members/'
OWNER_PREFIX = 'control/owners/'

_MEMBER_DECODER = Decoder(Member)


def make_owner_key(shard: str) -> str:
    """Return the store key that holds a shard's owner."""
    return f'{OWNER_PREFIX}{shard}'


class Directory:
    """Holds the state of the control keys and one link per process address.

    A directory belongs to one task of its process, which passes it the
    messages of the control watch. The links run in that process's task
    group.

    Parameters
    ----------
    group : TaskGroup
        Task group in which the links run.
    peers : tuple of Peer
        Schedulers named in the settings. They can be reached while the
        store does not respond.
    make_heartbeat : callable
        Returns the heartbeat that the links send.
    handle_heartbeat : callable
        Receives each heartbeat that a link has received.
    handle_disconnect : callable, optional
        Called by a `Link` when its connection has been closed.
    """

    def __init__(
        self,
        group: TaskGroup,
        peers: tuple[Peer, ...],
        make_heartbeat: Callable[[], Heartbeat],
        handle_heartbeat: Callable[[Heartbeat], None],
        handle_disconnect: Callable[[str], None] | None = None,
    ) -> None:
        self._group = group
        self._make_heartbeat = make_heartbeat
        self._handle_heartbeat = handle_heartbeat
        self._handle_disconnect = handle_disconnect
        self.members: dict[str, Member] = {}
        self.owners: dict[str, tuple[Member, int]] = {}
        # Revision of the store up to which changes of the keys are known.
        self.revision = 0
        self._links: dict[str, Link] = {}
        self._peers = peers

    def connect_peers(self) -> None:
        """Open links to the schedulers named in the settings."""
        for peer in self._peers:
            self.find_link(peer.address)

    def apply_control_event(self, message: Any) -> None:
        """Apply a message of the control watch; ignore other messages."""
        if isinstance(message, ControlListed):
            self._advance(message.revision)
            self.members.clear()
            self.owners = {
                shard: owner
                for shard, owner in self.owners.items()
                if owner[1] > message.revision
            }
        if not isinstance(message, ControlListed | ControlChanged):
            return
        for item in message.items:
            self._advance(item.revision)
            self._apply_item(item)

    def apply_owner_item(self, item: Item) -> None:
        """Apply an owner key that was learned other than by the watch."""
        self._apply_item(item)

    def _advance(self, revision: int) -> None:
        self.revision = max(self.revision, revision)

    def _apply_item(self, item: Item) -> None:
        if item.key.startswith(MEMBER_PREFIX):
            self._apply_member(item.key.removeprefix(MEMBER_PREFIX), item)
        if item.key.startswith(OWNER_PREFIX):
            self._apply_owner(item.key.removeprefix(OWNER_PREFIX), item)

    def _apply_member(self, name: str, item: Item) -> None:
        member = decode_member(item)
        if member is None:
            self.members.pop(name, None)
            return
        self.members[name] = member

    def _apply_owner(self, shard: str, item: Item) -> None:
        known = self.owners.get(shard)
        if known is not None and item.revision < known[1]:
            # The watch may deliver a state from before this process wrote
            # the key itself.
            return
        member = decode_member(item)
        if member is None:
            self.owners.pop(shard, None)
            return
        self.owners[shard] = (member, item.revision)

    def list_schedulers(self) -> tuple[Member, ...]:
        """Return the live schedulers, sorted by name."""
        return tuple(
            self.members[name]
            for name in sorted(self.members)
            if self.members[name].role == 'scheduler'
        )

    def find_link(self, address: str) -> Link:
        """Return the link to an address, opened on first use."""
        link = self._links.get(address)
        if link is None:
            link = Link(
                address,
                self._make_heartbeat,
                self._handle_heartbeat,
                self._handle_disconnect,
            )
            self._links[address] = link
            self._group.start_soon(link.run)
        return link

    def list_links(self) -> tuple[Link, ...]:
        """Return all links that have been opened."""
        return tuple(self._links.values())

    async def send_request(
        self, shard: str, message: Any, timeout_s: float, attempt: int = 1
    ) -> Any:
        """Send a message to a shard's owner and return its reply.

        Returns
        -------
        object
            The reply; `NoReply` when the effect is not known; or a
            `Refusal` when the shard has no owner and nothing was sent.
        """
        owner = self.owners.get(shard)
        if owner is None:
            return Refusal(
                RefusalKind.NOT_READY,
                f'shard {shard!r} has no owner at the moment',
                'send the request again after a second',
            )
        link = self.find_link(owner[0].link_address)
        return await link.request(message, timeout_s, attempt)

    async def request_from_members(
        self, message: Any, timeout_s: float, sender: str
    ) -> None:
        """Send a message to all members but the sender; ignore the replies.

        Parameters
        ----------
        timeout_s : float
            Time limit for each reply, in seconds.
        sender : str
            Name of this process.
        """
        links = [
            self.find_link(member.link_address)
            for name, member in self.members.items()
            if name != sender
        ]
        async with anyio.create_task_group() as group:
            for link in links:
                group.start_soon(link.request, message, timeout_s)

    async def broadcast_request(
        self, message: Any, timeout_s: float
    ) -> tuple[Any, ...]:
        """Send a message on every link and return the replies received."""
        replies: list[Any] = []

        async def request_one(link: Link) -> None:
            reply = await link.request(message, timeout_s)
            if not isinstance(reply, NoReply):
                replies.append(reply)

        async with anyio.create_task_group() as group:
            for link in self.list_links():
                group.start_soon(request_one, link)
        return tuple(replies)


def decode_member(item: Item) -> Member | None:
    """Return the member that a key's value describes, or None.

    Returns
    -------
    Member or None
        None if the key has been deleted or its value cannot be decoded.
    """
    if item.value is None:
        return None
    try:
        member = decode_input(_MEMBER_DECODER.decode, item.value)
    except InputError:
        return None
    address = parse_address(member.link_address)
    if member.link_address and (address is None or not address.has_valid_port):
        return None
    return member
