"""Ownership of a shard: store lease, takeover and fencing at the worker.

An owner may pause at any point, including between its lease check and the
sending of a command.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import register_specification
from models.specifications import StateMachine
from sassafrasgate.shards.ownership import may_send_commands
from sassafrasgate.shards.ownership import OwnerLease

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Transition

TAKEOVER_FIRST = 'takeover record before serving'
TTL_UNITS = 2
MAX_TIME = 8

EPOCH_FENCING = 'epoch fencing at the worker'
LEASE_FROM_REQUEST = 'lease timed from the request of the renewal'


class Claimant(NamedTuple):
    """A process that may own the shard.

    Parameters
    ----------
    phase : str
        ``idle``, ``claim``, ``serve`` or ``checked`` (has passed the lease
        check and is about to send a command).
    epoch : int
        Epoch of the process once it has claimed the shard.
    renewed_at : int
        Start of the store lease as the process computes it.
    renewal_sent_at : int
        Time at which the renewal in flight was sent; 0 for none.
    renewal_done : bool
        Whether the store has carried out that renewal.
    owner_number : int
        Position in the order in which processes began to serve; 0 before
        that. The processes don't know it.
    """

    phase: str = 'idle'
    epoch: int = 0
    renewed_at: int = 0
    renewal_sent_at: int = 0
    renewal_done: bool = False
    owner_number: int = 0


class OwnershipState(NamedTuple):
    """State of the store lease, the claimants and one worker.

    Parameters
    ----------
    now : int
        True time.
    lease_holder, lease_expires_at : int
        Holder of the store lease, and its expiry on the store's clock.
    epoch : int
        Epoch of the last takeover record.
    owner_count : int
        Number of times that a process has begun to serve.
    processes : tuple of Claimant
        The processes; the first one owns the shard initially.
    commands_in_flight : frozenset of (int, int)
        Epoch and owner number of each command sent; a command may arrive
        repeatedly.
    highest_epoch, last_accepted_owner : int
        Highest epoch that the worker has seen, and the highest owner number
        of a command that it accepted.
    stale_accepted : bool
        Whether the worker has accepted a command of one owner after a
        command of a later owner.
    """

    now: int
    lease_holder: int
    lease_expires_at: int
    epoch: int
    owner_count: int
    processes: tuple[Claimant, ...]
    commands_in_flight: frozenset[tuple[int, int]]
    highest_epoch: int
    highest_accepted_owner: int
    stale_accepted: bool


def _passes_lease_check(process: Claimant, now: int) -> bool:
    lease = OwnerLease(process.renewed_at, checked_at=now)
    return may_send_commands(lease, now, ttl_ms=TTL_UNITS, grace_ms=TTL_UNITS)


class _OwnershipTransitions:
    """Transitions of the claimants, the store and the worker."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_transitions(self, state: OwnershipState) -> Iterator[Transition]:
        """Return the transitions from a state."""
        if state.now < MAX_TIME:
            yield 'time passes', state._replace(now=state.now + 1)
        for number, process in enumerate(state.processes):
            for label, after, changed in self._list_process_transitions(
                state, number, process
            ):
                processes = (
                    *state.processes[:number],
                    changed,
                    *state.processes[number + 1 :],
                )
                yield (
                    f'process {number}: {label}',
                    after._replace(processes=processes),
                )
        for epoch, owner_number in state.commands_in_flight:
            yield from self._list_deliveries(state, epoch, owner_number)

    def _list_process_transitions(
        self, state: OwnershipState, number: int, process: Claimant
    ) -> Iterator[tuple[str, OwnershipState, Claimant]]:
        if process.phase == 'idle':
            yield from self._list_claims(state, number)
            return
        if number == 0:
            yield from self._list_renewals(state, number, process)
        if process.phase == 'claim':
            yield from self._list_takeovers(state, process)
        if process.phase == 'serve' and _passes_lease_check(
            process, state.now
        ):
            yield (
                'passes the lease check',
                state,
                process._replace(phase='checked'),
            )
        if process.phase == 'checked':
            command = (process.epoch, process.owner_number)
            sent = state._replace(
                commands_in_flight=state.commands_in_flight | {command}
            )
            yield 'sends a command', sent, process._replace(phase='serve')

    def _list_claims(
        self, state: OwnershipState, number: int
    ) -> Iterator[tuple[str, OwnershipState, Claimant]]:
        # Idle processes are interchangeable, so the model needs only one order
        # of claims.
        if state.processes[number - 1].phase == 'idle' and number > 1:
            return
        if state.now < state.lease_expires_at:
            return
        leased = state._replace(
            lease_holder=number, lease_expires_at=state.now + TTL_UNITS
        )
        after = Claimant('claim', state.epoch + 1, state.now)
        yield 'claims', leased, after

    def _list_renewals(
        self, state: OwnershipState, number: int, process: Claimant
    ) -> Iterator[tuple[str, OwnershipState, Claimant]]:
        holds_lease = (
            state.lease_holder == number and state.now < state.lease_expires_at
        )
        if not process.renewal_sent_at and holds_lease:
            requested = process._replace(
                renewal_sent_at=state.now, renewal_done=False
            )
            yield 'requests a renewal', state, requested
        if (
            process.renewal_sent_at
            and not process.renewal_done
            and holds_lease
        ):
            renewed = state._replace(lease_expires_at=state.now + TTL_UNITS)
            yield (
                'store renews the lease',
                renewed,
                process._replace(renewal_done=True),
            )
        if process.renewal_done:
            lease_start = process.renewal_sent_at
            if LEASE_FROM_REQUEST not in self.guards:
                lease_start = state.now
            after = process._replace(
                renewed_at=lease_start, renewal_sent_at=0, renewal_done=False
            )
            yield 'learns of the renewal', state, after

    def _list_takeovers(
        self, state: OwnershipState, process: Claimant
    ) -> Iterator[tuple[str, OwnershipState, Claimant]]:
        if TAKEOVER_FIRST in self.guards:
            if state.epoch >= process.epoch:
                yield 'has lost the shard', state, Claimant()
                return
            state = state._replace(epoch=process.epoch)
        after = process._replace(
            phase='serve', owner_number=state.owner_count + 1
        )
        yield (
            'serves',
            state._replace(owner_count=state.owner_count + 1),
            after,
        )

    def _list_deliveries(
        self, state: OwnershipState, epoch: int, owner_number: int
    ) -> Iterator[Transition]:
        if EPOCH_FENCING in self.guards and epoch < state.highest_epoch:
            return
        after = state._replace(
            highest_epoch=max(state.highest_epoch, epoch),
            highest_accepted_owner=max(
                state.highest_accepted_owner, owner_number
            ),
            stale_accepted=state.stale_accepted
            or owner_number < state.highest_accepted_owner,
        )
        yield f'worker accepts owner {owner_number}', after


def _has_one_sender(state: OwnershipState) -> bool:
    senders = [
        process
        for process in state.processes
        if process.owner_number and _passes_lease_check(process, state.now)
    ]
    return len(senders) <= 1


@register_specification(
    'ownership.fence', (EPOCH_FENCING, TAKEOVER_FIRST, LEASE_FROM_REQUEST)
)
def build_fence(guards: frozenset[str]) -> StateMachine:
    """Build the model of a store lease, three processes and a worker."""
    owner = Claimant('serve', epoch=1, renewed_at=1, owner_number=1)
    initial = OwnershipState(
        now=1,
        lease_holder=0,
        lease_expires_at=1 + TTL_UNITS,
        epoch=1,
        owner_count=1,
        processes=(owner, Claimant(), Claimant()),
        commands_in_flight=frozenset(),
        highest_epoch=0,
        highest_accepted_owner=0,
        stale_accepted=False,
    )
    return StateMachine(
        initial,
        _OwnershipTransitions(guards).list_transitions,
        {
            'a stale command is refused': lambda s: not s.stale_accepted,
            'one process passes the lease check': _has_one_sender,
        },
        {
            'a command of a third owner is accepted': lambda s: (
                s.highest_accepted_owner == 3
            ),
            'a stale command arrives': lambda s: any(
                owner_number < s.highest_accepted_owner
                for _, owner_number in s.commands_in_flight
            ),
        },
    )
