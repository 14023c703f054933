"""One attempt that the home shard hands to another shard.

Messages are lost, late and repeated. Either shard may be taken over once;
the old owner of the other shard goes on until an append of its fails. That
one shard runs an accepted task once is the matter of `attempts`.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import Machine
from models.specifications import register_specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Step

TOMBSTONE = 'tombstone on recall'
REFUSAL_TOMBSTONE = 'tombstone on refusal'
JOURNALED = 'acceptance journaled by (job, attempt)'
WAIT_RECALL = "home waits for the recall's answer"
INTENT = 'transfer journaled before it is sent'
RETENTION = 'record kept until the transfer expires'

Records = frozenset[str]
NOTHING: Records = frozenset()


class Side(NamedTuple):
    """An owner of the other shard.

    Parameters
    ----------
    active : bool
        Whether it acts.
    known : frozenset of str
        ``accepted``, ``refused`` or ``ended``, from the journal or from its
        own memory.
    started : bool
        Whether it knows that the task was started.
    """

    active: bool = False
    known: Records = NOTHING
    started: bool = False


class World(NamedTuple):
    """Home shard, other shard and the messages between them.

    Parameters
    ----------
    intent : bool
        Whether the home shard's journal names the transfer.
    home : str
        What the home shard's owner believes of attempt 1: ``none``,
        ``open`` or ``over``.
    home_taken : bool
        Whether the home shard has a new owner.
    transfer, recall : bool
        Whether that message may still arrive.
    replies : frozenset of str
        Answers on their way; each may arrive at any time and again.
    journal : frozenset of str
        The other shard's records of the attempt.
    sides : tuple of Side
        The other shard's old and new owner.
    runs : int
        How often the attempt was started.
    running : bool
        Whether it runs.
    second : bool
        Whether the home shard has started attempt 2.
    """

    intent: bool = False
    home: str = 'none'
    home_taken: bool = False
    transfer: bool = False
    recall: bool = False
    replies: Records = NOTHING
    journal: Records = NOTHING
    sides: tuple[Side, Side] = (Side(active=True), Side())
    runs: int = 0
    running: bool = False
    second: bool = False


class _Steps:
    """The steps of the home shard, the network and the other shard."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_steps(self, state: World) -> Iterator[Step]:
        """Return the successors of a state."""
        yield from self._run_home(state)
        if state.transfer:
            yield 'transfer expires', state._replace(transfer=False)
        if not state.sides[1].active:
            known = state.journal
            successor = Side(True, known, bool(known and state.runs))
            sides = (state.sides[0], successor)
            yield 'other shard is taken over', state._replace(sides=sides)
        for number, side in enumerate(state.sides):
            if side.active:
                for label, after in self._run_side(state, number, side):
                    yield f'other owner {number}: {label}', after
        if state.running:
            yield 'attempt 1 ends', state._replace(running=False)

    def _run_home(self, state: World) -> Iterator[Step]:
        if not state.home_taken:
            home = 'open' if state.intent else 'none'
            taken = state._replace(home_taken=True, home=home)
            yield 'home is taken over', taken
        if state.home == 'none' and not state.second:
            intent = INTENT in self.guards
            sent = state._replace(transfer=True, home='open', intent=intent)
            yield 'home sends the transfer', sent
            yield 'home starts at home', state._replace(second=True)
        if state.home != 'open' or state.second:
            if state.home == 'over' and not state.second:
                yield 'home starts attempt 2', state._replace(second=True)
            return
        yield 'home sends a recall', state._replace(recall=True)
        if state.recall and WAIT_RECALL not in self.guards:
            yield 'home does not wait', state._replace(home='over')
        for reply in state.replies - {'accepted'}:
            yield f'home gets {reply}', state._replace(home='over')

    def _run_side(
        self, state: World, number: int, side: Side
    ) -> Iterator[tuple[str, World]]:
        if state.transfer:
            yield from self._receive(state, number, side)
        if state.recall:
            yield from self._answer_recall(state, number, side)
        if 'accepted' in side.known and not side.started:
            started = self._set_side(
                state, number, side._replace(started=True)
            )
            # A stale owner's start is refused by the worker's fence.
            if number == 1 or not state.sides[1].active:
                yield (
                    'starts attempt 1',
                    started._replace(runs=state.runs + 1, running=True),
                )
        if side.started and not state.running and 'ended' not in side.known:
            yield from self._append(state, number, side, 'ended')
        if 'ended' in side.known or 'refused' in side.known:
            kept = state.transfer and RETENTION in self.guards
            if number == 1 or not state.sides[1].active:
                forgotten = self._set_side(
                    state._replace(journal=NOTHING), number, Side(active=True)
                )
                if not kept and state.home == 'over':
                    yield 'forgets the attempt', forgotten

    def _receive(
        self, state: World, number: int, side: Side
    ) -> Iterator[tuple[str, World]]:
        if side.known:
            yield 'repeats its answer', self._reply(state, side)
            return
        if JOURNALED in self.guards:
            yield from self._append(state, number, side, 'accepted')
        else:
            known = side._replace(known=side.known | {'accepted'})
            accepted = self._set_side(state, number, known)
            yield 'accepts', self._reply(accepted, known)
        if REFUSAL_TOMBSTONE in self.guards:
            yield from self._append(state, number, side, 'refused')
        else:
            replies = state.replies | {'refused'}
            yield 'has no room', state._replace(replies=replies)

    def _answer_recall(
        self, state: World, number: int, side: Side
    ) -> Iterator[tuple[str, World]]:
        if side.known:
            yield 'reports on a recall', self._reply(state, side)
            return
        if TOMBSTONE in self.guards:
            yield from self._append(state, number, side, 'refused')
            return
        replies = state.replies | {'refused'}
        yield 'never saw it', state._replace(replies=replies)

    def _append(
        self, state: World, number: int, side: Side, record: str
    ) -> Iterator[tuple[str, World]]:
        """Journal a record and answer, or stop when the shard is lost."""
        if number == 0 and state.sides[1].active:
            yield 'lost the shard', self._set_side(state, 0, Side())
            return
        known = side._replace(known=side.known | {record})
        after = self._set_side(state, number, known)
        after = after._replace(journal=state.journal | {record})
        yield f'journals {record}', self._reply(after, known)

    def _reply(self, state: World, side: Side) -> World:
        answers = [a for a in ('ended', 'refused') if a in side.known]
        answer = answers[0] if answers else 'accepted'
        return state._replace(replies=state.replies | {answer})

    def _set_side(self, state: World, number: int, side: Side) -> World:
        old, new = state.sides
        sides = (old, side) if number else (side, new)
        return state._replace(sides=sides)


@register_specification(
    'transfers.attempt',
    (
        TOMBSTONE,
        REFUSAL_TOMBSTONE,
        JOURNALED,
        WAIT_RECALL,
        INTENT,
        RETENTION,
    ),
)
def build_attempt(guards: frozenset[str]) -> Machine:
    """Build the transfer of one attempt."""
    return Machine(
        World(),
        _Steps(guards).list_steps,
        {
            'the attempt runs at most once': lambda s: s.runs <= 1,
            'home and the other shard do not both run it': lambda s: (
                not (s.second and s.running)
            ),
            'home believes what is true': lambda s: (
                not (s.home == 'over' and s.running)
            ),
        },
        {
            'the new owner runs it': lambda s: (
                s.running and s.sides[1].started
            ),
            'attempt 2 follows a recall': lambda s: (
                s.second and s.recall and 'refused' in s.journal
            ),
            'attempt 2 follows an end': lambda s: (
                s.second and 'ended' in s.journal
            ),
            'a record is forgotten': lambda s: (
                s.home == 'over' and not s.journal and not s.transfer
            ),
        },
    )
