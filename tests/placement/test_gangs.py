"""Tests that all tasks of a gang across shards start, or none."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

import pytest

from sassafrasgate.placement.gangs import begin_gang
from sassafrasgate.placement.gangs import expire_reservation
from sassafrasgate.placement.gangs import GangCancelled
from sassafrasgate.placement.gangs import GangPart
from sassafrasgate.placement.gangs import GangPhase
from sassafrasgate.placement.gangs import GangState
from sassafrasgate.placement.gangs import handle_confirm
from sassafrasgate.placement.gangs import handle_gang_event
from sassafrasgate.placement.gangs import handle_release
from sassafrasgate.placement.gangs import handle_reserve
from sassafrasgate.placement.gangs import handle_start
from sassafrasgate.placement.gangs import IntentRecorded
from sassafrasgate.placement.gangs import PartConfirmed
from sassafrasgate.placement.gangs import PartRefused
from sassafrasgate.placement.gangs import PartReleased
from sassafrasgate.placement.gangs import PartReservation
from sassafrasgate.placement.gangs import PartReserved
from sassafrasgate.placement.gangs import PartStarted
from sassafrasgate.placement.gangs import RecordIntent
from sassafrasgate.placement.gangs import ReservationPhase
from sassafrasgate.placement.gangs import resume_gang
from sassafrasgate.placement.gangs import SendConfirm
from sassafrasgate.placement.gangs import SendRelease
from sassafrasgate.placement.gangs import SendReserve
from sassafrasgate.placement.gangs import SendStart
from sassafrasgate.placement.gangs import TimerFired

Commands = SendReserve | SendConfirm | SendStart | SendRelease
Replies = (
    PartReserved | PartRefused | PartConfirmed | PartStarted | PartReleased
)
PARTS = (GangPart('s3', 2), GangPart('s1', 4), GangPart('s2', 1))


def test_parts_are_reserved_in_name_order():
    state, actions = begin_gang('j', 1, 1, PARTS, 0)
    requested = []
    for _ in PARTS:
        (action,) = actions
        requested.append(action.shard)
        state, actions = handle_gang_event(
            state, PartReserved(action.shard, 1), 0
        )
    assert requested == ['s1', 's2', 's3']
    assert actions == (RecordIntent(),)


def test_gang_needs_parts():
    with pytest.raises(ValueError, match='no parts'):
        begin_gang('j', 1, 1, (), 0)


@dataclass(frozen=True)
class SystemState:
    """A home shard, the reservations of two shards, and all messages sent.

    Messages are never removed, so each may arrive late, repeatedly or not
    at all. Time is not modelled: a timer may fire and a reservation may
    expire at any moment.
    """

    state: GangState
    reservations: tuple[tuple[str, PartReservation], ...] = (
        ('s1', PartReservation()),
        ('s2', PartReservation()),
    )
    messages: frozenset = frozenset()
    recorded: bool = False
    cancelled: bool = False
    path: tuple[str, ...] = field(default=(), compare=False)


AFTER_ALL_TIMEOUTS_MS = 10**6
TWO_PARTS = (GangPart('s1', 1), GangPart('s2', 1))


def apply_transition(system, transition, name, **changes):
    state, actions = transition
    return replace(
        system,
        state=replace(state, requested_at=0, last_sent_at=0),
        messages=system.messages | set(actions),
        path=(*system.path, name),
        **changes,
    )


def process_command(message, reservation):
    """Return the reservation after a command, and the type of the reply."""
    if isinstance(message, SendReserve):
        reservation, accepted = handle_reserve(reservation, message, True, 0)
        return reservation, PartReserved if accepted else PartRefused
    if isinstance(message, SendConfirm):
        reservation, accepted = handle_confirm(reservation, message, 0)
        return reservation, PartConfirmed if accepted else PartRefused
    if isinstance(message, SendStart):
        reservation, accepted = handle_start(reservation, message)
        return reservation, PartStarted if accepted else None
    reservation, released = handle_release(reservation, message)
    return reservation, PartReleased if released else None


def deliver(system, message):
    if isinstance(message, Commands):
        reservations = dict(system.reservations)
        reservation, reply = process_command(
            message, reservations[message.shard]
        )
        reservations[message.shard] = reservation
        sent = {reply(message.shard, message.epoch)} if reply else set()
        if reservation == dict(system.reservations)[message.shard] and (
            sent <= system.messages
        ):
            return system
        return replace(
            system,
            reservations=tuple(reservations.items()),
            messages=system.messages | sent,
            path=(*system.path, f'deliver {message}'),
        )
    recorded = system.recorded
    event = message
    if isinstance(message, RecordIntent):
        event, recorded = IntentRecorded(), True
    elif not isinstance(message, Replies):
        return system
    transition = handle_gang_event(system.state, event, 0)
    if transition == (system.state, ()) and recorded == system.recorded:
        return system
    return apply_transition(
        system, transition, f'deliver {message}', recorded=recorded
    )


def list_successors(system):
    """Return every state that one event can lead to."""
    successors = [deliver(system, message) for message in system.messages]
    transition = handle_gang_event(
        system.state, TimerFired(), AFTER_ALL_TIMEOUTS_MS
    )
    successors.append(apply_transition(system, transition, 'time'))
    for number, (shard, reservation) in enumerate(system.reservations):
        reservations = list(system.reservations)
        reservations[number] = (
            shard,
            expire_reservation(reservation, AFTER_ALL_TIMEOUTS_MS),
        )
        successors.append(replace(system, reservations=tuple(reservations)))
    if not system.cancelled:
        transition = handle_gang_event(system.state, GangCancelled(), 0)
        successors.append(
            apply_transition(system, transition, 'cancel', cancelled=True)
        )
    if system.recorded and system.state.epoch == 1:
        transition = resume_gang('j', 1, 2, TWO_PARTS, 0)
        successors.append(apply_transition(system, transition, 'new owner'))
    return successors


def list_reachable_states():
    """Return all states of the system that can be reached."""
    system = SystemState(begin_gang('j', 1, 1, TWO_PARTS, 0)[0])
    system = apply_transition(
        system, begin_gang('j', 1, 1, TWO_PARTS, 0), 'begin'
    )
    seen = {system}
    unexplored = [system]
    while unexplored:
        for successor in list_successors(unexplored.pop()):
            if successor not in seen:
                seen.add(successor)
                unexplored.append(successor)
    return seen


def test_gangs_start_completely_or_not_at_all_in_every_reachable_state():
    # Guards against gangs of which only a part runs, after a reservation
    # expired, a release of a previous owner arrived late, or the gang was
    # cancelled.
    phases_reached = set()
    for system in list_reachable_states():
        phases = {reservation.phase for _, reservation in system.reservations}
        if ReservationPhase.STARTED in phases:
            assert phases <= {
                ReservationPhase.STARTED,
                ReservationPhase.CONFIRMED,
            }, system.path
        if system.state.phase is GangPhase.STARTED:
            assert phases == {ReservationPhase.STARTED}, system.path
        if system.state.phase is GangPhase.REFUSED:
            # A part that was never requested has no reservation.
            assert phases <= {ReservationPhase.RELEASED, ReservationPhase.NONE}
        phases_reached.add(system.state.phase)
    assert phases_reached == set(GangPhase)
