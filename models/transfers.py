"""Transfer of one attempt from the home shard to another shard.

Messages are lost, delayed and duplicated. Either shard may be taken over
once; the old owner of the other shard continues until one of its appends
fails. `attempts` models how a single shard runs an accepted task at most
once.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import register_specification
from models.specifications import StateMachine

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Transition

RECALL_TOMBSTONE = 'tombstone on recall'
REFUSAL_TOMBSTONE = 'tombstone on refusal'
ACCEPTANCE_JOURNALED = 'acceptance journaled by (job, attempt)'
AWAIT_RECALL_REPLY = 'home waits for the reply to the recall'
TRANSFER_JOURNALED = 'transfer journaled before it is sent'
RETENTION = 'record kept until the transfer expires'

Records = frozenset[str]
NO_RECORDS: Records = frozenset()


class ShardOwner(NamedTuple):
    """An owner of the other shard.

    Parameters
    ----------
    active : bool
        Whether the process acts as owner.
    known_records : frozenset of str
        Records of the attempt (``accepted``, ``refused``, ``ended``) that
        the owner knows from the journal or from memory.
    started : bool
        Whether the owner knows that the task was started.
    """

    active: bool = False
    known_records: Records = NO_RECORDS
    started: bool = False


class TransferState(NamedTuple):
    """State of the home shard, the other shard and the network.

    Parameters
    ----------
    transfer_journaled : bool
        Whether the home shard's journal contains the transfer.
    home_status : str
        Status of attempt 1 as the home shard's owner knows it: ``none``,
        ``open`` or ``ended``.
    home_taken_over : bool
        Whether the home shard has a new owner.
    transfer, recall : bool
        Whether a transfer or recall message may still arrive.
    replies : frozenset of str
        Replies in flight; each may arrive at any time, and repeatedly.
    journal : frozenset of str
        Records of the attempt in the other shard's journal.
    owners : tuple of ShardOwner
        The old and the new owner of the other shard.
    runs : int
        Number of times that attempt 1 was started.
    running : bool
        Whether attempt 1 runs.
    attempt_2_started : bool
        Whether the home shard has started attempt 2.
    """

    transfer_journaled: bool = False
    home_status: str = 'none'
    home_taken_over: bool = False
    transfer: bool = False
    recall: bool = False
    replies: Records = NO_RECORDS
    journal: Records = NO_RECORDS
    owners: tuple[ShardOwner, ShardOwner] = (
        ShardOwner(active=True),
        ShardOwner(),
    )
    runs: int = 0
    running: bool = False
    attempt_2_started: bool = False


class _TransferTransitions:
    """Transitions of the home shard, the network and the other shard."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_transitions(self, state: TransferState) -> Iterator[Transition]:
        """Return the transitions from a state."""
        yield from self._list_home_transitions(state)
        if state.transfer:
            yield 'transfer expires', state._replace(transfer=False)
        if not state.owners[1].active:
            known_records = state.journal
            successor = ShardOwner(
                True, known_records, bool(known_records and state.runs)
            )
            owners = (state.owners[0], successor)
            yield 'other shard is taken over', state._replace(owners=owners)
        for number, owner in enumerate(state.owners):
            if owner.active:
                for label, after in self._list_owner_transitions(
                    state, number, owner
                ):
                    yield f'other owner {number}: {label}', after
        if state.running:
            yield 'attempt 1 ends', state._replace(running=False)

    def _list_home_transitions(
        self, state: TransferState
    ) -> Iterator[Transition]:
        if not state.home_taken_over:
            home_status = 'open' if state.transfer_journaled else 'none'
            taken = state._replace(
                home_taken_over=True, home_status=home_status
            )
            yield 'home shard is taken over', taken
        if state.home_status == 'none' and not state.attempt_2_started:
            transfer_journaled = TRANSFER_JOURNALED in self.guards
            sent = state._replace(
                transfer=True,
                home_status='open',
                transfer_journaled=transfer_journaled,
            )
            yield 'home sends the transfer', sent
            yield (
                'home starts attempt 2 without a transfer',
                state._replace(attempt_2_started=True),
            )
        if state.home_status != 'open' or state.attempt_2_started:
            if state.home_status == 'ended' and not state.attempt_2_started:
                yield (
                    'home starts attempt 2',
                    state._replace(attempt_2_started=True),
                )
            return
        yield 'home sends a recall', state._replace(recall=True)
        if state.recall and AWAIT_RECALL_REPLY not in self.guards:
            yield (
                'home does not wait for the reply',
                state._replace(home_status='ended'),
            )
        for reply in state.replies - {'accepted'}:
            yield f'home receives {reply}', state._replace(home_status='ended')

    def _list_owner_transitions(
        self, state: TransferState, number: int, owner: ShardOwner
    ) -> Iterator[tuple[str, TransferState]]:
        if state.transfer:
            yield from self._list_transfer_receipts(state, number, owner)
        if state.recall:
            yield from self._list_recall_receipts(state, number, owner)
        if 'accepted' in owner.known_records and not owner.started:
            started = self._replace_owner(
                state, number, owner._replace(started=True)
            )
            # The worker refuses the start of a stale owner, whose epoch is
            # lower.
            if number == 1 or not state.owners[1].active:
                yield (
                    'starts attempt 1',
                    started._replace(runs=state.runs + 1, running=True),
                )
        if (
            owner.started
            and not state.running
            and 'ended' not in owner.known_records
        ):
            yield from self._list_append_results(state, number, owner, 'ended')
        if 'ended' in owner.known_records or 'refused' in owner.known_records:
            must_keep = state.transfer and RETENTION in self.guards
            if number == 1 or not state.owners[1].active:
                deleted = self._replace_owner(
                    state._replace(journal=NO_RECORDS),
                    number,
                    ShardOwner(active=True),
                )
                if not must_keep and state.home_status == 'ended':
                    yield 'deletes its records of the attempt', deleted

    def _list_transfer_receipts(
        self, state: TransferState, number: int, owner: ShardOwner
    ) -> Iterator[tuple[str, TransferState]]:
        if owner.known_records:
            yield 'repeats its reply', self._send_reply(state, owner)
            return
        if ACCEPTANCE_JOURNALED in self.guards:
            yield from self._list_append_results(
                state, number, owner, 'accepted'
            )
        else:
            updated = owner._replace(
                known_records=owner.known_records | {'accepted'}
            )
            accepted = self._replace_owner(state, number, updated)
            yield 'accepts', self._send_reply(accepted, updated)
        if REFUSAL_TOMBSTONE in self.guards:
            yield from self._list_append_results(
                state, number, owner, 'refused'
            )
        else:
            replies = state.replies | {'refused'}
            yield (
                'refuses for lack of free capacity',
                state._replace(replies=replies),
            )

    def _list_recall_receipts(
        self, state: TransferState, number: int, owner: ShardOwner
    ) -> Iterator[tuple[str, TransferState]]:
        if owner.known_records:
            yield 'replies to the recall', self._send_reply(state, owner)
            return
        if RECALL_TOMBSTONE in self.guards:
            yield from self._list_append_results(
                state, number, owner, 'refused'
            )
            return
        replies = state.replies | {'refused'}
        yield (
            'replies that it has no such attempt',
            state._replace(replies=replies),
        )

    def _list_append_results(
        self, state: TransferState, number: int, owner: ShardOwner, record: str
    ) -> Iterator[tuple[str, TransferState]]:
        """Return the append of a record, or the stop of a stale owner."""
        if number == 0 and state.owners[1].active:
            yield (
                'has lost the shard',
                self._replace_owner(state, 0, ShardOwner()),
            )
            return
        updated = owner._replace(known_records=owner.known_records | {record})
        after = self._replace_owner(state, number, updated)
        after = after._replace(journal=state.journal | {record})
        yield f'journals {record}', self._send_reply(after, updated)

    def _send_reply(
        self, state: TransferState, owner: ShardOwner
    ) -> TransferState:
        final_replies = [
            a for a in ('ended', 'refused') if a in owner.known_records
        ]
        reply = final_replies[0] if final_replies else 'accepted'
        return state._replace(replies=state.replies | {reply})

    def _replace_owner(
        self, state: TransferState, number: int, owner: ShardOwner
    ) -> TransferState:
        old, new = state.owners
        owners = (old, owner) if number else (owner, new)
        return state._replace(owners=owners)


@register_specification(
    'transfers.attempt',
    (
        RECALL_TOMBSTONE,
        REFUSAL_TOMBSTONE,
        ACCEPTANCE_JOURNALED,
        AWAIT_RECALL_REPLY,
        TRANSFER_JOURNALED,
        RETENTION,
    ),
)
def build_attempt(guards: frozenset[str]) -> StateMachine:
    """Build the model of the transfer of one attempt."""
    return StateMachine(
        TransferState(),
        _TransferTransitions(guards).list_transitions,
        {
            'the attempt runs at most once': lambda s: s.runs <= 1,
            'attempts 1 and 2 do not run concurrently': lambda s: (
                not (s.attempt_2_started and s.running)
            ),
            'an attempt believed ended does not run': lambda s: (
                not (s.home_status == 'ended' and s.running)
            ),
        },
        {
            'the new owner runs it': lambda s: (
                s.running and s.owners[1].started
            ),
            'attempt 2 follows a recall': lambda s: (
                s.attempt_2_started and s.recall and 'refused' in s.journal
            ),
            'attempt 2 follows an end': lambda s: (
                s.attempt_2_started and 'ended' in s.journal
            ),
            'the records are deleted': lambda s: (
                s.home_status == 'ended' and not s.journal and not s.transfer
            ),
        },
    )
