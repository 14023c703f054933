"""Messages of an entry host's main task, and handlers for each of them."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.registries import Registry
from sassafrasgate.daemons.advice import AdviceRequested
from sassafrasgate.daemons.control import ControlChanged
from sassafrasgate.daemons.control import ControlListed
from sassafrasgate.daemons.leases import LeaseChanged
from sassafrasgate.daemons.leases import LeaseLost
from sassafrasgate.daemons.messages import ClaimDue
from sassafrasgate.daemons.messages import LeaseUpdated
from sassafrasgate.daemons.messages import OwnershipLost
from sassafrasgate.daemons.messages import StopProcess
from sassafrasgate.daemons.owner_ends import EndEvidence
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.observability.metrics import CONFIGURATION_VERSION
from sassafrasgate.protocol.messages import Acknowledged
from sassafrasgate.protocol.relays import RelayCall
from sassafrasgate.protocol.workflows import FindOwner
from sassafrasgate.protocol.workflows import HandOver
from sassafrasgate.protocol.workflows import PauseClaims
from sassafrasgate.protocol.workflows import RequestFailed
from sassafrasgate.protocol.workflows import SeekAdvice

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from sassafrasgate.daemons.entry import EntryTask

SendReply = Callable[[Any], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """The peer at this address has closed the connection of a link."""

    address: str


@dataclass(frozen=True, slots=True)
class OwnerEnded:
    """There is evidence that the owner's process has ended."""

    evidence: EndEvidence


@dataclass(frozen=True, slots=True)
class ShardOffered:
    """The owner has offered to hand the shard over to this process.

    Parameters
    ----------
    offer : HandOver
        The owner's state.
    reply : callable
        Receives `Acknowledged` once this process has taken the shard over,
        or a `Refusal`.
    """

    offer: HandOver
    reply: SendReply


@dataclass(frozen=True, slots=True)
class RelayRequested:
    """Another entry host asks this one to make a store call for it.

    Parameters
    ----------
    call : RelayCall
        The call to make.
    reply : callable
        Receives the `RelayReply`.
    """

    call: RelayCall
    reply: SendReply


EntryHandler = Callable[['EntryTask', Any, 'TaskGroup'], None]

# Handlers for the messages in the task's inbox, by message type.
ENTRY_MESSAGES: Registry[type[Any], EntryHandler] = Registry('entry message')
# Handlers for requests that every entry host serves. All other requests go to
# the owner's dispatcher.
ENTRY_REQUESTS: Registry[
    type[Any], Callable[[EntryTask, Any, SendReply], Awaitable[None]]
] = Registry('entry request')


@ENTRY_MESSAGES.register(ClaimDue)
def _handle_claim_due(
    task: EntryTask, message: ClaimDue, group: TaskGroup
) -> None:
    """Do nothing; `EntryTask.handle` checks for a claim after any message."""


@ENTRY_MESSAGES.register(ControlListed)
@ENTRY_MESSAGES.register(ControlChanged)
def _handle_control_event(
    task: EntryTask, message: Any, group: TaskGroup
) -> None:
    task.directory.apply_control_event(message)
    task.election.probe.record_members(message)
    owner = task.election.owner
    if owner is not None and not task.election.is_self(owner[0]):
        # An open link detects when the owner's process ends.
        task.directory.find_link(owner[0].link_address)
    task.check_other_owner()
    task.update_peers()


@ENTRY_MESSAGES.register(LeaseChanged)
def _handle_lease_change(
    task: EntryTask, message: LeaseChanged, group: TaskGroup
) -> None:
    task.election.update_lease(message)
    task.notify_dispatcher(LeaseUpdated(message.lease))


@ENTRY_MESSAGES.register(LeaseLost)
def _handle_lease_loss(
    task: EntryTask, message: LeaseLost, group: TaskGroup
) -> None:
    task.election.handle_lease_loss()
    task.notify_dispatcher(OwnershipLost('the store lease has expired'))


@ENTRY_MESSAGES.register(TableChanged)
def _handle_table_change(
    task: EntryTask, message: TableChanged, group: TaskGroup
) -> None:
    if message.table.version <= task.version:
        return
    task.table = message.table
    task.has_table.set()
    task.services.metrics.set_gauge(CONFIGURATION_VERSION, task.version)
    task.log(
        'table',
        (
            ('version', task.version),
            ('queues', len(task.table.queues)),
            ('pools', len(task.table.pools)),
        ),
    )
    task.notify_dispatcher(message)


@ENTRY_MESSAGES.register(StopProcess)
def _handle_stop(
    task: EntryTask, message: StopProcess, group: TaskGroup
) -> None:
    if task.is_stopping:
        return
    task.is_stopping = True
    task.log('stop', (('owner', task.dispatcher is not None),))
    if task.dispatcher is not None:
        task.dispatcher.request_stop()


@ENTRY_MESSAGES.register(LinkClosed)
def _handle_link_closed(
    task: EntryTask, message: LinkClosed, group: TaskGroup
) -> None:
    owner = task.election.owner
    if owner is not None and owner[0].link_address == message.address:
        task.start_unit(group, task.probe_owner)


@ENTRY_MESSAGES.register(OwnerEnded)
def _handle_owner_end(
    task: EntryTask, message: OwnerEnded, group: TaskGroup
) -> None:
    task.election.probe.record_end(message.evidence)


@ENTRY_MESSAGES.register(RelayRequested)
def _handle_relay_request(
    task: EntryTask, message: RelayRequested, group: TaskGroup
) -> None:
    task.start_unit(group, task.relay_call, message)


@ENTRY_MESSAGES.register(ShardOffered)
def _handle_offer(
    task: EntryTask, message: ShardOffered, group: TaskGroup
) -> None:
    task.start_unit(group, task.take_over_shard, message, group)


@ENTRY_REQUESTS.register(RelayCall)
async def _accept_relay(
    task: EntryTask, message: RelayCall, reply: SendReply
) -> None:
    await task.send_to_self(RelayRequested(message, reply))


@ENTRY_REQUESTS.register(HandOver)
async def _accept_offer(
    task: EntryTask, message: HandOver, reply: SendReply
) -> None:
    await task.send_to_self(ShardOffered(message, reply))


@ENTRY_REQUESTS.register(FindOwner)
async def _reply_with_owner(
    task: EntryTask, message: FindOwner, reply: SendReply
) -> None:
    await reply(task.election.describe_owner(message))


@ENTRY_REQUESTS.register(PauseClaims)
async def _reply_to_pause_request(
    task: EntryTask, message: PauseClaims, reply: SendReply
) -> None:
    await reply(task.pause_claims(message))


@ENTRY_REQUESTS.register(RequestFailed)
async def _refuse_failed_request(
    task: EntryTask, message: RequestFailed, reply: SendReply
) -> None:
    task.record_failed_request(message)
    await reply(Acknowledged())


@ENTRY_REQUESTS.register(SeekAdvice)
async def _forward_advice_request(
    task: EntryTask, message: SeekAdvice, reply: SendReply
) -> None:
    await task.advice_sender.send(AdviceRequested(message, reply))
