"""Two-phase reservation of a gang across shards: all tasks start, or none.

In the first phase, the home shard requests tentative reservations, which
expire by themselves, in the order of the shard names, so that two gangs never
deadlock. When all parts are reserved, the home shard records its intent in
the journal. In the second phase, each shard confirms its reservation, and
tasks start only after all have confirmed. If a reservation expires before it
is confirmed, the whole attempt is aborted, and no task has started by then. A
confirmed reservation does not expire, since a successor of the home shard
completes or releases it according to the recorded intent. Commands and
replies carry the epoch of the home shard's owner: a command that a previous
owner sent before it stepped down must not undo what its successor confirms.
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

RESERVATION_TIMEOUT_MS = 2_000
# A shard that does not reply to a reservation within this time counts as
# having refused.
REPLY_TIMEOUT_MS = 1_000
# Confirmed reservations of other shards are released if a shard does not
# confirm its own within this time.
CONFIRM_TIMEOUT_MS = 5_000
RESEND_INTERVAL_MS = 500


class GangPhase(StrEnum):
    """Progress of an attempt at the home shard."""

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
    """State of one attempt to start a gang, kept by its home shard.

    Parameters
    ----------
    job_id : str
        Job id of the gang.
    attempt : int
        Number of the attempt; shards keep a `PartReservation` for each.
    epoch : int
        Epoch of the owner of the home shard.
    parts : tuple of GangPart
        Parts of the gang, ordered by shard name.
    phase : GangPhase
        Current phase of the attempt.
    pending_shards : tuple of str
        Shards whose replies the current phase waits for.
    requested_at : int
        When the commands of this phase were first sent, in ms.
    last_sent_at : int
        When the commands of this phase were last sent, in ms.
    reason : str
        Why the attempt was aborted.
    resumed : bool
        Whether a previous owner may already have sent start commands.
    """

    job_id: str
    attempt: int
    epoch: int
    parts: tuple[GangPart, ...]
    phase: GangPhase = GangPhase.RESERVING
    pending_shards: tuple[str, ...] = ()
    requested_at: int = 0
    last_sent_at: int = 0
    reason: str = ''
    resumed: bool = False


@dataclass(frozen=True, slots=True)
class PartReserved:
    """A shard has reserved its part for `RESERVATION_TIMEOUT_MS`."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PartRefused:
    """A shard cannot reserve its part, or its reservation has ended."""

    shard: str
    epoch: int
    reason: str = ''


@dataclass(frozen=True, slots=True)
class IntentRecorded:
    """The journal of the home shard contains the intent to start the gang."""


@dataclass(frozen=True, slots=True)
class PartConfirmed:
    """A shard has confirmed its reservation."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PartStarted:
    """A shard has accepted the start command; its tasks run or will run."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PartReleased:
    """A shard holds no reservation for this attempt any more."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer event.

    It must occur at least every `RESEND_INTERVAL_MS` until the attempt ends.
    """


@dataclass(frozen=True, slots=True)
class GangCancelled:
    """The caller has cancelled the gang."""


@dataclass(frozen=True, slots=True)
class SendReserve:
    """Ask a shard to reserve its part for a limited time."""

    shard: str
    epoch: int
    tasks: int
    reservation_ms: int = RESERVATION_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class RecordIntent:
    """Write the intent to the journal of the home shard."""


@dataclass(frozen=True, slots=True)
class SendConfirm:
    """Ask a shard to confirm its reservation."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class SendStart:
    """Tell a shard to start its tasks."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class SendRelease:
    """Tell a shard to release its reservation."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ReportStarted:
    """Report that all shards have accepted the start of their tasks."""


@dataclass(frozen=True, slots=True)
class ReportRefused:
    """Report that no task has started or will start in this attempt."""

    reason: str


Event = (
    PartReserved
    | PartRefused
    | IntentRecorded
    | PartConfirmed
    | PartStarted
    | PartReleased
    | TimerFired
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
Transition = tuple[GangState, tuple[Action, ...]]
EVENT_HANDLERS: Registry[
    type[Any], Callable[[GangState, Any, int], Transition]
] = Registry('gang event')


def begin_gang(
    job_id: str,
    attempt: int,
    epoch: int,
    parts: tuple[GangPart, ...],
    now: int,
) -> Transition:
    """Return the initial state and actions of an attempt.

    Raises
    ------
    ValueError
        When ``parts`` is empty.
    """
    if not parts:
        raise ValueError(f'gang {job_id!r} has no parts; name at least one')
    ordered = tuple(sorted(parts, key=lambda part: part.shard))
    state = GangState(job_id, attempt, epoch, ordered)
    return _request_reservation(state, 0, now)


def resume_gang(
    job_id: str,
    attempt: int,
    epoch: int,
    parts: tuple[GangPart, ...],
    now: int,
) -> Transition:
    """Return the state and actions of a new owner that finds an intent.

    It is unknown whether all parts were confirmed, so each shard is asked
    to confirm again; a shard whose tasks have started confirms as well. If
    one refuses, not all parts were confirmed, so no start command was sent.
    If all confirm, the gang starts even if the caller has cancelled it in
    the meantime, since some tasks may already be running; the cancellation
    then ends a running gang.
    """
    ordered = tuple(sorted(parts, key=lambda part: part.shard))
    state = GangState(job_id, attempt, epoch, ordered, resumed=True)
    return _confirm_all(state, now)


def handle_gang_event(state: GangState, event: Event, now: int) -> Transition:
    """Return the state after an event, and the actions to take.

    Late and repeated events, and replies to a previous owner, are ignored.

    Parameters
    ----------
    now : int
        Time in ms.
    """
    if getattr(event, 'epoch', state.epoch) != state.epoch:
        return state, ()
    return EVENT_HANDLERS.find(type(event))(state, event, now)


@EVENT_HANDLERS.register(PartReserved)
def _handle_reserved(
    state: GangState, event: PartReserved, now: int
) -> Transition:
    if state.phase is not GangPhase.RESERVING:
        return state, ()
    if event.shard not in state.pending_shards:
        return state, ()
    position = _find_position(state, event.shard) + 1
    if position < len(state.parts):
        return _request_reservation(state, position, now)
    state = replace(state, phase=GangPhase.RECORDING, pending_shards=())
    return state, (RecordIntent(),)


@EVENT_HANDLERS.register(PartRefused)
def _handle_refused(
    state: GangState, event: PartRefused, now: int
) -> Transition:
    if event.shard not in state.pending_shards:
        return state, ()
    if state.phase not in (GangPhase.RESERVING, GangPhase.CONFIRMING):
        return state, ()
    return _abort(state, f'shard {event.shard!r}: {event.reason}', now)


@EVENT_HANDLERS.register(IntentRecorded)
def _handle_recorded(
    state: GangState, event: IntentRecorded, now: int
) -> Transition:
    if state.phase is not GangPhase.RECORDING:
        return state, ()
    return _confirm_all(state, now)


@EVENT_HANDLERS.register(PartConfirmed)
def _handle_confirmed(
    state: GangState, event: PartConfirmed, now: int
) -> Transition:
    if state.phase is not GangPhase.CONFIRMING:
        return state, ()
    state = _remove_pending(state, event.shard)
    if state.pending_shards:
        return state, ()
    shards = _list_shards(state)
    state = replace(
        state,
        phase=GangPhase.STARTING,
        pending_shards=shards,
        requested_at=now,
        last_sent_at=now,
    )
    return state, tuple(SendStart(shard, state.epoch) for shard in shards)


@EVENT_HANDLERS.register(PartStarted)
def _handle_started(
    state: GangState, event: PartStarted, now: int
) -> Transition:
    if state.phase is not GangPhase.STARTING:
        return state, ()
    state = _remove_pending(state, event.shard)
    if state.pending_shards:
        return state, ()
    return replace(state, phase=GangPhase.STARTED), (ReportStarted(),)


@EVENT_HANDLERS.register(PartReleased)
def _handle_released(
    state: GangState, event: PartReleased, now: int
) -> Transition:
    if state.phase is not GangPhase.RELEASING:
        return state, ()
    state = _remove_pending(state, event.shard)
    if state.pending_shards:
        return state, ()
    state = replace(state, phase=GangPhase.REFUSED)
    return state, (ReportRefused(state.reason),)


@EVENT_HANDLERS.register(GangCancelled)
def _handle_cancelled(
    state: GangState, event: GangCancelled, now: int
) -> Transition:
    """Abort the attempt unless tasks may have started.

    Later cancellations are handled as those of a running job.
    """
    if not state.resumed and state.phase in (
        GangPhase.RESERVING,
        GangPhase.RECORDING,
        GangPhase.CONFIRMING,
    ):
        return _abort(state, 'cancelled', now)
    return state, ()


@EVENT_HANDLERS.register(TimerFired)
def _handle_timer(state: GangState, event: TimerFired, now: int) -> Transition:
    timeout_ms = _REPLY_TIMEOUTS_MS.get(state.phase)
    has_timed_out = (
        timeout_ms is not None and now >= state.requested_at + timeout_ms
    )
    if has_timed_out and not state.resumed:
        shards = ', '.join(state.pending_shards)
        return _abort(state, f'no reply from shard {shards}', now)
    send = _RESENT_COMMANDS.get(state.phase)
    if send is None or now < state.last_sent_at + RESEND_INTERVAL_MS:
        return state, ()
    actions = tuple(send(shard, state.epoch) for shard in state.pending_shards)
    return replace(state, last_sent_at=now), actions


# No start command is sent in these phases, so no task runs after an abort. A
# resumed attempt has no timeout, since a previous owner may have sent start
# commands.
_REPLY_TIMEOUTS_MS = {
    GangPhase.RESERVING: REPLY_TIMEOUT_MS,
    GangPhase.CONFIRMING: CONFIRM_TIMEOUT_MS,
}
# Commands that are repeated until all shards reply. Requests for reservations
# are not, since their timeout is short.
_RESENT_COMMANDS: dict[GangPhase, Callable[[str, int], Action]] = {
    GangPhase.CONFIRMING: SendConfirm,
    GangPhase.STARTING: SendStart,
    GangPhase.RELEASING: SendRelease,
}


def _request_reservation(
    state: GangState, position: int, now: int
) -> Transition:
    part = state.parts[position]
    state = replace(
        state, pending_shards=(part.shard,), requested_at=now, last_sent_at=now
    )
    return state, (SendReserve(part.shard, state.epoch, part.tasks),)


def _confirm_all(state: GangState, now: int) -> Transition:
    shards = _list_shards(state)
    state = replace(
        state,
        phase=GangPhase.CONFIRMING,
        pending_shards=shards,
        requested_at=now,
        last_sent_at=now,
    )
    return state, tuple(SendConfirm(shard, state.epoch) for shard in shards)


def _abort(state: GangState, reason: str, now: int) -> Transition:
    """Release every part that was requested, whether or not it replied."""
    shards = _list_shards(state)
    if state.phase is GangPhase.RESERVING:
        last_requested = max(
            _find_position(state, shard) for shard in state.pending_shards
        )
        shards = shards[: last_requested + 1]
    state = replace(
        state,
        phase=GangPhase.RELEASING,
        pending_shards=shards,
        requested_at=now,
        last_sent_at=now,
        reason=reason,
    )
    return state, tuple(SendRelease(shard, state.epoch) for shard in shards)


def _list_shards(state: GangState) -> tuple[str, ...]:
    return tuple(part.shard for part in state.parts)


def _find_position(state: GangState, shard: str) -> int:
    return _list_shards(state).index(shard)


def _remove_pending(state: GangState, shard: str) -> GangState:
    return replace(
        state,
        pending_shards=tuple(
            name for name in state.pending_shards if name != shard
        ),
    )


class ReservationPhase(StrEnum):
    """Phase of a part's reservation at the shard that is to run it."""

    NONE = 'none'
    TENTATIVE = 'tentative'
    CONFIRMED = 'confirmed'
    STARTED = 'started'
    RELEASED = 'released'


@dataclass(frozen=True, slots=True)
class PartReservation:
    """Reservation of one part at its shard, for one attempt.

    Parameters
    ----------
    phase : ReservationPhase
        ``RELEASED`` is kept as a tombstone, so that a late command of the
        same attempt does not reserve the part again.
    expires_at : int
        When a tentative reservation expires, in ms of this shard's clock.
    epoch : int
        Highest epoch in a command of the home shard; commands with a lower
        epoch are refused.
    """

    phase: ReservationPhase = ReservationPhase.NONE
    expires_at: int = 0
    epoch: int = 0


def handle_reserve(
    reservation: PartReservation,
    command: SendReserve,
    has_room: bool,
    now: int,
) -> tuple[PartReservation, bool]:
    """Return the reservation after a reserve command; False if refused."""
    if command.epoch < reservation.epoch:
        return reservation, False
    if reservation.phase is ReservationPhase.NONE and has_room:
        expires_at = now + command.reservation_ms
        return PartReservation(
            ReservationPhase.TENTATIVE, expires_at, command.epoch
        ), True
    return (
        reservation,
        reservation.phase is ReservationPhase.TENTATIVE
        and now < reservation.expires_at,
    )


def handle_confirm(
    reservation: PartReservation, command: SendConfirm, now: int
) -> tuple[PartReservation, bool]:
    """Return the reservation after a confirm command; False if refused.

    The confirmed reservation must be written to this shard's journal before
    the reply is sent, since the home shard then starts the gang.
    """
    if command.epoch < reservation.epoch:
        return reservation, False
    if (
        reservation.phase is ReservationPhase.TENTATIVE
        and now < reservation.expires_at
    ):
        return PartReservation(
            ReservationPhase.CONFIRMED, epoch=command.epoch
        ), True
    if reservation.phase in (
        ReservationPhase.CONFIRMED,
        ReservationPhase.STARTED,
    ):
        return replace(reservation, epoch=command.epoch), True
    return PartReservation(
        ReservationPhase.RELEASED, epoch=command.epoch
    ), False


def handle_start(
    reservation: PartReservation, command: SendStart
) -> tuple[PartReservation, bool]:
    """Return the reservation after a start command; False if refused."""
    if command.epoch < reservation.epoch:
        return reservation, False
    if reservation.phase in (
        ReservationPhase.CONFIRMED,
        ReservationPhase.STARTED,
    ):
        return PartReservation(
            ReservationPhase.STARTED, epoch=command.epoch
        ), True
    return reservation, False


def handle_release(
    reservation: PartReservation, command: SendRelease
) -> tuple[PartReservation, bool]:
    """Return the reservation after a release command; False if refused.

    Started tasks are not affected; they are ended by a cancellation.
    """
    if (
        command.epoch < reservation.epoch
        or reservation.phase is ReservationPhase.STARTED
    ):
        return reservation, False
    return PartReservation(
        ReservationPhase.RELEASED, epoch=command.epoch
    ), True


def expire_reservation(
    reservation: PartReservation, now: int
) -> PartReservation:
    """Release a tentative reservation that has expired."""
    if (
        reservation.phase is ReservationPhase.TENTATIVE
        and now >= reservation.expires_at
    ):
        return PartReservation(
            ReservationPhase.RELEASED, epoch=reservation.epoch
        )
    return reservation
