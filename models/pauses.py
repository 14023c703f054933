"""Pauses of claims: an owner that acts after its lease, and its witnesses.

The owner's lease is never renewed. Two hosts are its witnesses; each of them
may claim the shard once the lease is over, and may lose it again.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import register_specification
from models.specifications import StateMachine
from sassafrasgate.shards.ownership import compute_pause_end
from sassafrasgate.shards.ownership import may_send_commands
from sassafrasgate.shards.ownership import OwnerLease

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Transition

TTL_UNITS = 2
GRACE_UNITS = 6
PAUSE_UNITS = 3
WITNESSES = 2
RENEWED_AT = 1
MAX_TIME = 9

NO_CLAIM_IN_PAUSE = 'no takeover during a pause'
PAUSE_FROM_REQUEST = 'pause counted from its request'
NONE_FOR_REPLACED = 'no pause for a replaced owner'
ALL_WITNESSES = 'pauses of all witnesses'


class Witness(NamedTuple):
    """A host that may take the shard over.

    Parameters
    ----------
    paused_until : int
        End of its latest pause.
    owns : bool
        Whether it owns the shard.
    has_owned : bool
        Whether it has ever taken the shard over.
    """

    paused_until: int = 0
    owns: bool = False
    has_owned: bool = False


class PauseState(NamedTuple):
    """State of the owner, of its request, and of the witnesses.

    Parameters
    ----------
    now : int
        True time, which all steady clocks show.
    paused_until : int
        Until when the owner counts on the pauses.
    requested_at : int
        When the owner sent the request in flight; 0 for none.
    agreed : frozenset of int
        Witnesses that have agreed to this request.
    acted_late : bool
        Whether the owner has acted after its lease.
    acted_beside : bool
        Whether the owner has acted after a takeover.
    """

    now: int = RENEWED_AT
    paused_until: int = 0
    requested_at: int = 0
    agreed: frozenset[int] = frozenset()
    witnesses: tuple[Witness, ...] = (Witness(),) * WITNESSES
    acted_late: bool = False
    acted_beside: bool = False


class _PauseTransitions:
    """Transitions of the owner and of its witnesses."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_transitions(self, state: PauseState) -> Iterator[Transition]:
        """Return the transitions from a state."""
        if state.now < MAX_TIME:
            yield 'time passes', state._replace(now=state.now + 1)
        yield from self._list_owner_transitions(state)
        for number, witness in enumerate(state.witnesses):
            for label, changed in self._list_witness_changes(state, witness):
                yield (
                    f'witness {number} {label}',
                    _replace_witness(state, number, changed),
                )
            if self._may_agree(state, number):
                paused = witness._replace(paused_until=state.now + PAUSE_UNITS)
                agreed = state._replace(agreed=state.agreed | {number})
                yield (
                    f'witness {number} agrees',
                    _replace_witness(agreed, number, paused),
                )

    def _list_owner_transitions(
        self, state: PauseState
    ) -> Iterator[Transition]:
        if not state.requested_at:
            yield (
                'owner requests pauses',
                state._replace(requested_at=state.now, agreed=frozenset()),
            )
        needed = WITNESSES if ALL_WITNESSES in self.guards else 1
        if state.requested_at and len(state.agreed) >= needed:
            begin = state.requested_at
            if PAUSE_FROM_REQUEST not in self.guards:
                begin = state.now
            learned = state._replace(
                requested_at=0,
                paused_until=compute_pause_end(begin, PAUSE_UNITS),
            )
            yield 'owner learns of the pauses', learned
        lease = OwnerLease(
            RENEWED_AT,
            RENEWED_AT,
            state.now,
            claims_paused_until=state.paused_until,
        )
        if may_send_commands(
            lease, state.now, ttl_ms=TTL_UNITS, grace_ms=GRACE_UNITS
        ):
            is_late = state.now >= RENEWED_AT + TTL_UNITS
            is_replaced = any(w.has_owned for w in state.witnesses)
            acted = state._replace(
                acted_late=state.acted_late or is_late,
                acted_beside=state.acted_beside or is_replaced,
            )
            yield 'owner acts', acted

    def _list_witness_changes(
        self, state: PauseState, witness: Witness
    ) -> Iterator[tuple[str, Witness]]:
        if witness.owns:
            yield 'loses the shard', witness._replace(owns=False)
            return
        if state.now < RENEWED_AT + TTL_UNITS:
            return
        is_paused = state.now < witness.paused_until
        if is_paused and NO_CLAIM_IN_PAUSE in self.guards:
            return
        if not any(other.owns for other in state.witnesses):
            yield 'takes over', witness._replace(owns=True, has_owned=True)

    def _may_agree(self, state: PauseState, number: int) -> bool:
        witness = state.witnesses[number]
        if not state.requested_at or number in state.agreed or witness.owns:
            return False
        return not (witness.has_owned and NONE_FOR_REPLACED in self.guards)


def _replace_witness(
    state: PauseState, number: int, witness: Witness
) -> PauseState:
    witnesses = (
        *state.witnesses[:number],
        witness,
        *state.witnesses[number + 1 :],
    )
    return state._replace(witnesses=witnesses)


@register_specification(
    'ownership.pause',
    (
        NO_CLAIM_IN_PAUSE,
        PAUSE_FROM_REQUEST,
        NONE_FOR_REPLACED,
        ALL_WITNESSES,
    ),
)
def build_pauses(guards: frozenset[str]) -> StateMachine:
    """Build the model of an owner's pauses."""
    return StateMachine(
        PauseState(),
        _PauseTransitions(guards).list_transitions,
        {
            'an owner does not act after a witness has taken over': lambda s: (
                not s.acted_beside
            ),
        },
        {
            'the owner acts after its lease': lambda s: s.acted_late,
            'a witness takes over after a pause': lambda s: any(
                witness.owns and witness.paused_until
                for witness in s.witnesses
            ),
        },
    )
