"""Owning a shard: the store lease, the takeover and the worker's fence.

An owner may pause at any point, also between its lease check and the send.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import Machine
from models.specifications import register_specification
from sassafrasgate.shards.ownership import may_send_commands
from sassafrasgate.shards.ownership import OwnerLease

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Step

TAKEOVER_FIRST = 'takeover record before serving'
TTL = 2
HORIZON = 8

FENCE = 'worker epoch fence'
LEASE_BEFORE = 'lease timed from before the renewal'


class Claimant(NamedTuple):
    """A process that may own the shard, as seen in time.

    Parameters
    ----------
    phase : str
        ``idle``, ``claim``, ``serve`` or ``checked`` (about to send).
    epoch : int
        Its epoch once it has claimed.
    renewed_at : int
        Start of its store lease by its own reckoning.
    asked_at : int
        When it sent the renewal that is under way; 0 for none.
    done : bool
        Whether the store has done that renewal.
    turn : int
        Order in which processes began to serve; not known to them.
    """

    phase: str = 'idle'
    epoch: int = 0
    renewed_at: int = 0
    asked_at: int = 0
    done: bool = False
    turn: int = 0


class Fence(NamedTuple):
    """The store lease, the claimants and one worker.

    Parameters
    ----------
    now : int
        True time.
    holder, until
        Holder of the store lease and its end on the store's clock.
    epoch : int
        Epoch of the last takeover record.
    turns : int
        Processes that have begun to serve.
    processes : tuple of Claimant
        The first one owns the shard at the start.
    flight : frozenset of (int, int)
        Commands under way: epoch and turn; they may arrive again.
    fence, answered : int
        The worker's highest epoch, and the last turn that it answered.
    stale : bool
        Whether it accepted a command of an earlier turn than that.
    """

    now: int
    holder: int
    until: int
    epoch: int
    turns: int
    processes: tuple[Claimant, ...]
    flight: frozenset[tuple[int, int]]
    fence: int
    answered: int
    stale: bool


def _may_send(process: Claimant, now: int) -> bool:
    lease = OwnerLease(process.renewed_at, checked_at=now)
    return may_send_commands(lease, now, ttl_ms=TTL, grace_ms=TTL)


class _FenceSteps:
    """The steps of claimants, store and worker."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_steps(self, state: Fence) -> Iterator[Step]:
        """Return the successors of a state."""
        if state.now < HORIZON:
            yield 'time passes', state._replace(now=state.now + 1)
        for number, process in enumerate(state.processes):
            for label, after, changed in self._move(state, number, process):
                processes = (
                    *state.processes[:number],
                    changed,
                    *state.processes[number + 1 :],
                )
                yield (
                    f'process {number}: {label}',
                    after._replace(processes=processes),
                )
        for epoch, turn in state.flight:
            yield from self._deliver(state, epoch, turn)

    def _move(
        self, state: Fence, number: int, process: Claimant
    ) -> Iterator[tuple[str, Fence, Claimant]]:
        if process.phase == 'idle':
            yield from self._claim(state, number)
            return
        if number == 0:
            yield from self._renew(state, number, process)
        if process.phase == 'claim':
            yield from self._take_over(state, process)
        if process.phase == 'serve' and _may_send(process, state.now):
            yield 'checks', state, process._replace(phase='checked')
        if process.phase == 'checked':
            command = (process.epoch, process.turn)
            sent = state._replace(flight=state.flight | {command})
            yield 'sends', sent, process._replace(phase='serve')

    def _claim(
        self, state: Fence, number: int
    ) -> Iterator[tuple[str, Fence, Claimant]]:
        # The idle processes are alike, so one order of claims is enough.
        if state.processes[number - 1].phase == 'idle' and number > 1:
            return
        if state.now < state.until:
            return
        leased = state._replace(holder=number, until=state.now + TTL)
        after = Claimant('claim', state.epoch + 1, state.now)
        yield 'claims', leased, after

    def _renew(
        self, state: Fence, number: int, process: Claimant
    ) -> Iterator[tuple[str, Fence, Claimant]]:
        held = state.holder == number and state.now < state.until
        if not process.asked_at and held:
            asked = process._replace(asked_at=state.now, done=False)
            yield 'asks to renew', state, asked
        if process.asked_at and not process.done and held:
            renewed = state._replace(until=state.now + TTL)
            yield 'is renewed', renewed, process._replace(done=True)
        if process.done:
            since = process.asked_at
            if LEASE_BEFORE not in self.guards:
                since = state.now
            after = process._replace(renewed_at=since, asked_at=0, done=False)
            yield 'learns of the renewal', state, after

    def _take_over(
        self, state: Fence, process: Claimant
    ) -> Iterator[tuple[str, Fence, Claimant]]:
        if TAKEOVER_FIRST in self.guards:
            if state.epoch >= process.epoch:
                yield 'lost the shard', state, Claimant()
                return
            state = state._replace(epoch=process.epoch)
        after = process._replace(phase='serve', turn=state.turns + 1)
        yield 'serves', state._replace(turns=state.turns + 1), after

    def _deliver(self, state: Fence, epoch: int, turn: int) -> Iterator[Step]:
        if FENCE in self.guards and epoch < state.fence:
            return
        after = state._replace(
            fence=max(state.fence, epoch),
            answered=max(state.answered, turn),
            stale=state.stale or turn < state.answered,
        )
        yield f'worker accepts turn {turn}', after


def _has_one_sender(state: Fence) -> bool:
    senders = [
        process
        for process in state.processes
        if process.turn and _may_send(process, state.now)
    ]
    return len(senders) <= 1


@register_specification(
    'ownership.fence', (FENCE, TAKEOVER_FIRST, LEASE_BEFORE)
)
def build_fence(guards: frozenset[str]) -> Machine:
    """Build a store lease, three processes and a worker."""
    owner = Claimant('serve', epoch=1, renewed_at=1, turn=1)
    initial = Fence(
        now=1,
        holder=0,
        until=1 + TTL,
        epoch=1,
        turns=1,
        processes=(owner, Claimant(), Claimant()),
        flight=frozenset(),
        fence=0,
        answered=0,
        stale=False,
    )
    return Machine(
        initial,
        _FenceSteps(guards).list_steps,
        {
            'a stale command is refused': lambda s: not s.stale,
            'one process passes the lease check': _has_one_sender,
        },
        {
            'a third owner is answered': lambda s: s.answered == 3,
            'a stale command arrives': lambda s: any(
                turn < s.answered for _, turn in s.flight
            ),
        },
    )
