"""Reservations of one gang across shards: all tasks start, or none.

The home shard reserves in shard-name order, so that two gangs never wait
for each other in a circle. Reservations are short and lapse by themselves.
Once all are held, the home shard records its intent, and each shard turns
its reservation into a firm one. Only when all are firm do tasks start. A
reservation that lapsed before it was firm ends the whole try, so no task
has started by then. A firm reservation does not lapse, since the recorded
intent lets a successor of the home shard finish or release it. Commands and
replies carry the home shard's epoch: a command that an earlier owner sent
before it gave up must not undo what its successor confirms.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import StrEnum
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

RESERVATION_MS = 2_000
# A shard that has not replied by then counts as having refused.
REPLY_MS = 1_000
# Firm reservations elsewhere are not kept longer than this for a shard that
# does not confirm its own.
CONFIRM_MS = 5_000
RESEND_MS = 500


class GangPhase(StrEnum):
    """How far the home shard has come."""

    RESERVING = 'reserving'
    RECORDING = 'recording'
    CONFIRMING = 'confirming'
    STARTING = 'starting'
    STARTED = 'started'
    RELEASING = 'releasing'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class GangPart:
    """The tasks of a gang that one shard is to run."""

    shard: str
    tasks: int


@dataclass(frozen=True, slots=True)
class GangState:
    """One try to start a gang, as its home shard knows it.

    Parameters
    ----------
    job_id : str
        The gang.
    attempt : int
        Number of the try; shards keep a `Hold` for each.
    epoch : int
        Epoch of the home shard's owner.
    parts : tuple of GangPart
        In shard-name order; made by `begin_gang`.
    phase : GangPhase
        Where the try stands.
    waiting : tuple of str
        Shards whose reply the phase waits for.
    asked_at : int
        When they were first asked, in ms.
    sent_at : int
        When they were last asked, in ms.
    reason : str
        Why the try was given up.
    resumed : bool
        Whether an earlier owner may have sent starts.
    """

    job_id: str
    attempt: int
    epoch: int
    parts: tuple[GangPart, ...]
    phase: GangPhase = GangPhase.RESERVING
    waiting: tuple[str, ...] = ()
    asked_at: int = 0
    sent_at: int = 0
    reason: str = ''
    resumed: bool = False


@dataclass(frozen=True, slots=True)
class PartReserved:
    """A shard holds its part for `RESERVATION_MS`."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PartRefused:
    """A shard can't hold its part, or no longer holds it."""

    shard: str
    epoch: int
    reason: str = ''


@dataclass(frozen=True, slots=True)
class IntentRecorded:
    """The home shard's journal holds the intent to start the gang."""


@dataclass(frozen=True, slots=True)
class PartConfirmed:
    """A shard's reservation is firm."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PartStarted:
    """A shard has taken over the start of its tasks for good."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PartReleased:
    """A shard holds nothing for this try any more."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class TimePassed:
    """A timer; sent at least every `RESEND_MS` while a try is open."""


@dataclass(frozen=True, slots=True)
class GangCancelled:
    """The caller has cancelled the gang."""


@dataclass(frozen=True, slots=True)
class SendReserve:
    """Ask a shard to hold its part for a short time."""

    shard: str
    epoch: int
    tasks: int
    hold_ms: int = RESERVATION_MS


@dataclass(frozen=True, slots=True)
class RecordIntent:
    """Write the intent to the home shard's journal."""


@dataclass(frozen=True, slots=True)
class SendConfirm:
    """Ask a shard to make its reservation firm."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class SendStart:
    """Tell a shard to start its tasks."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class SendRelease:
    """Tell a shard to drop its reservation."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ReportStarted:
    """The gang runs: all shards have taken over their tasks."""


@dataclass(frozen=True, slots=True)
class ReportRefused:
    """No task has started or will start in this try."""

    reason: str


Event = (
    PartReserved
    | PartRefused
    | IntentRecorded
    | PartConfirmed
    | PartStarted
    | PartReleased
    | TimePassed
    | GangCancelled
)
Action = (
    SendReserve
    | RecordIntent
    | SendConfirm
    | SendStart
    | SendRelease
    | ReportStarted
    | ReportRefused
)
Step = tuple[GangState, tuple[Action, ...]]
HANDLERS: Registry[type[Any], Callable[[GangState, Any, int], Step]] = (
    Registry('gang event')
)


def begin_gang(
    job_id: str,
    attempt: int,
    epoch: int,
    parts: tuple[GangPart, ...],
    now: int,
) -> Step:
    """Return the first state and actions of a try.

    Raises
    ------
    ValueError
        When there are no parts.
    """
    if not parts:
        raise ValueError(f'gang {job_id!r} has no parts; name at least one')
    ordered = tuple(sorted(parts, key=lambda part: part.shard))
    state = GangState(job_id, attempt, epoch, ordered)
    return _ask_next(state, 0, now)


def resume_gang(
    job_id: str,
    attempt: int,
    epoch: int,
    parts: tuple[GangPart, ...],
    now: int,
) -> Step:
    """Return the state of a successor that finds a recorded intent.

    Whether all parts were firm is not known, so each shard is asked to
    confirm again; a shard whose tasks have started confirms too. When one
    refuses, not all were firm, so no start was sent. When all confirm, the
    gang starts even if the caller has cancelled it meanwhile, since some
    tasks may have started; the cancellation then ends a running gang.
    """
    ordered = tuple(sorted(parts, key=lambda part: part.shard))
    state = GangState(job_id, attempt, epoch, ordered, resumed=True)
    return _confirm_all(state, now)


def step_gang(state: GangState, event: Event, now: int) -> Step:
    """Return the state after an event, and what to do.

    Late and repeated events, and replies to an earlier owner, change
    nothing.

    Parameters
    ----------
    now : int
        Time in ms.
    """
    if getattr(event, 'epoch', state.epoch) != state.epoch:
        return state, ()
    return HANDLERS.find(type(event))(state, event, now)


@HANDLERS.register(PartReserved)
def _note_reserved(state: GangState, event: PartReserved, now: int) -> Step:
    if state.phase is not GangPhase.RESERVING:
        return state, ()
    if event.shard not in state.waiting:
        return state, ()
    number = _find_number(state, event.shard) + 1
    if number < len(state.parts):
        return _ask_next(state, number, now)
    state = replace(state, phase=GangPhase.RECORDING, waiting=())
    return state, (RecordIntent(),)


@HANDLERS.register(PartRefused)
def _note_refused(state: GangState, event: PartRefused, now: int) -> Step:
    if event.shard not in state.waiting:
        return state, ()
    if state.phase not in (GangPhase.RESERVING, GangPhase.CONFIRMING):
        return state, ()
    return _give_up(state, f'shard {event.shard!r}: {event.reason}', now)


@HANDLERS.register(IntentRecorded)
def _note_recorded(state: GangState, event: IntentRecorded, now: int) -> Step:
    if state.phase is not GangPhase.RECORDING:
        return state, ()
    return _confirm_all(state, now)


@HANDLERS.register(PartConfirmed)
def _note_confirmed(state: GangState, event: PartConfirmed, now: int) -> Step:
    if state.phase is not GangPhase.CONFIRMING:
        return state, ()
    state = _drop_waiting(state, event.shard)
    if state.waiting:
        return state, ()
    shards = _list_shards(state)
    state = replace(
        state,
        phase=GangPhase.STARTING,
        waiting=shards,
        asked_at=now,
        sent_at=now,
    )
    return state, tuple(SendStart(shard, state.epoch) for shard in shards)


@HANDLERS.register(PartStarted)
def _note_started(state: GangState, event: PartStarted, now: int) -> Step:
    if state.phase is not GangPhase.STARTING:
        return state, ()
    state = _drop_waiting(state, event.shard)
    if state.waiting:
        return state, ()
    return replace(state, phase=GangPhase.STARTED), (ReportStarted(),)


@HANDLERS.register(PartReleased)
def _note_released(state: GangState, event: PartReleased, now: int) -> Step:
    if state.phase is not GangPhase.RELEASING:
        return state, ()
    state = _drop_waiting(state, event.shard)
    if state.waiting:
        return state, ()
    state = replace(state, phase=GangPhase.REFUSED)
    return state, (ReportRefused(state.reason),)


@HANDLERS.register(GangCancelled)
def _note_cancelled(state: GangState, event: GangCancelled, now: int) -> Step:
    """Give up a try that has not started; later ones end as running jobs."""
    if not state.resumed and state.phase in (
        GangPhase.RESERVING,
        GangPhase.RECORDING,
        GangPhase.CONFIRMING,
    ):
        return _give_up(state, 'cancelled', now)
    return state, ()


@HANDLERS.register(TimePassed)
def _note_time(state: GangState, event: TimePassed, now: int) -> Step:
    limit = _REPLY_LIMITS.get(state.phase)
    is_late = limit is not None and now >= state.asked_at + limit
    if is_late and not state.resumed:
        shards = ', '.join(state.waiting)
        return _give_up(state, f'no reply from shard {shards}', now)
    send = _RESENT.get(state.phase)
    if send is None or now < state.sent_at + RESEND_MS:
        return state, ()
    actions = tuple(send(shard, state.epoch) for shard in state.waiting)
    return replace(state, sent_at=now), actions


# No start is sent in these phases, so giving up leaves nothing running. A
# resumed try is an exception: an earlier owner may have sent starts.
_REPLY_LIMITS = {
    GangPhase.RESERVING: REPLY_MS,
    GangPhase.CONFIRMING: CONFIRM_MS,
}
# A reservation is asked for once, since it would lapse before long anyway.
_RESENT: dict[GangPhase, Callable[[str, int], Action]] = {
    GangPhase.CONFIRMING: SendConfirm,
    GangPhase.STARTING: SendStart,
    GangPhase.RELEASING: SendRelease,
}


def _ask_next(state: GangState, number: int, now: int) -> Step:
    part = state.parts[number]
    state = replace(state, waiting=(part.shard,), asked_at=now, sent_at=now)
    return state, (SendReserve(part.shard, state.epoch, part.tasks),)


def _confirm_all(state: GangState, now: int) -> Step:
    shards = _list_shards(state)
    state = replace(
        state,
        phase=GangPhase.CONFIRMING,
        waiting=shards,
        asked_at=now,
        sent_at=now,
    )
    return state, tuple(SendConfirm(shard, state.epoch) for shard in shards)


def _give_up(state: GangState, reason: str, now: int) -> Step:
    """Release every part that was asked for, replied or not."""
    shards = _list_shards(state)
    if state.phase is GangPhase.RESERVING:
        asked = max(_find_number(state, shard) for shard in state.waiting)
        shards = shards[: asked + 1]
    state = replace(
        state,
        phase=GangPhase.RELEASING,
        waiting=shards,
        asked_at=now,
        sent_at=now,
        reason=reason,
    )
    return state, tuple(SendRelease(shard, state.epoch) for shard in shards)


def _list_shards(state: GangState) -> tuple[str, ...]:
    return tuple(part.shard for part in state.parts)


def _find_number(state: GangState, shard: str) -> int:
    return _list_shards(state).index(shard)


def _drop_waiting(state: GangState, shard: str) -> GangState:
    return replace(
        state, waiting=tuple(name for name in state.waiting if name != shard)
    )


class HoldPhase(StrEnum):
    """What a shard holds for a gang of another home shard."""

    NOTHING = 'nothing'
    SHORT = 'short'
    FIRM = 'firm'
    STARTED = 'started'
    RELEASED = 'released'


@dataclass(frozen=True, slots=True)
class Hold:
    """One part at the shard that is to run it, for one try.

    Parameters
    ----------
    phase : HoldPhase
        ``RELEASED`` is kept as a tombstone, so that a late request of the
        same try finds nothing to hold again.
    until : int
        When a short reservation lapses, in ms of this shard's clock.
    epoch : int
        Highest epoch of the home shard that sent a command; commands with
        a lower one are refused.
    """

    phase: HoldPhase = HoldPhase.NOTHING
    until: int = 0
    epoch: int = 0


def reserve_hold(
    hold: Hold, command: SendReserve, has_room: bool, now: int
) -> tuple[Hold, bool]:
    """Answer a request to reserve; False for a refusal."""
    if command.epoch < hold.epoch:
        return hold, False
    if hold.phase is HoldPhase.NOTHING and has_room:
        until = now + command.hold_ms
        return Hold(HoldPhase.SHORT, until, command.epoch), True
    return hold, hold.phase is HoldPhase.SHORT and now < hold.until


def confirm_hold(
    hold: Hold, command: SendConfirm, now: int
) -> tuple[Hold, bool]:
    """Answer a request to make a reservation firm; False for a refusal.

    The firm reservation must be in this shard's journal before the reply
    is sent, since the home shard starts the gang on it.
    """
    if command.epoch < hold.epoch:
        return hold, False
    if hold.phase is HoldPhase.SHORT and now < hold.until:
        return Hold(HoldPhase.FIRM, epoch=command.epoch), True
    if hold.phase in (HoldPhase.FIRM, HoldPhase.STARTED):
        return replace(hold, epoch=command.epoch), True
    return Hold(HoldPhase.RELEASED, epoch=command.epoch), False


def start_hold(hold: Hold, command: SendStart) -> tuple[Hold, bool]:
    """Answer the start of a part; True when its tasks run or will run."""
    if command.epoch < hold.epoch:
        return hold, False
    if hold.phase in (HoldPhase.FIRM, HoldPhase.STARTED):
        return Hold(HoldPhase.STARTED, epoch=command.epoch), True
    return hold, False


def release_hold(hold: Hold, command: SendRelease) -> tuple[Hold, bool]:
    """Answer the release of a part; True when nothing is held any more.

    Started tasks are not affected: their end is a cancellation.
    """
    if command.epoch < hold.epoch or hold.phase is HoldPhase.STARTED:
        return hold, False
    return Hold(HoldPhase.RELEASED, epoch=command.epoch), True


def lapse_hold(hold: Hold, now: int) -> Hold:
    """Drop a short reservation whose time is over."""
    if hold.phase is HoldPhase.SHORT and now >= hold.until:
        return Hold(HoldPhase.RELEASED, epoch=hold.epoch)
    return hold
