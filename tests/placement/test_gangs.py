"""Guards all or nothing for gangs across shards."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

import pytest

from sassafrasgate.placement.gangs import begin_gang
from sassafrasgate.placement.gangs import confirm_hold
from sassafrasgate.placement.gangs import GangCancelled
from sassafrasgate.placement.gangs import GangPart
from sassafrasgate.placement.gangs import GangPhase
from sassafrasgate.placement.gangs import GangState
from sassafrasgate.placement.gangs import Hold
from sassafrasgate.placement.gangs import HoldPhase
from sassafrasgate.placement.gangs import IntentRecorded
from sassafrasgate.placement.gangs import lapse_hold
from sassafrasgate.placement.gangs import PartConfirmed
from sassafrasgate.placement.gangs import PartRefused
from sassafrasgate.placement.gangs import PartReleased
from sassafrasgate.placement.gangs import PartReserved
from sassafrasgate.placement.gangs import PartStarted
from sassafrasgate.placement.gangs import RecordIntent
from sassafrasgate.placement.gangs import release_hold
from sassafrasgate.placement.gangs import reserve_hold
from sassafrasgate.placement.gangs import resume_gang
from sassafrasgate.placement.gangs import SendConfirm
from sassafrasgate.placement.gangs import SendRelease
from sassafrasgate.placement.gangs import SendReserve
from sassafrasgate.placement.gangs import SendStart
from sassafrasgate.placement.gangs import start_hold
from sassafrasgate.placement.gangs import step_gang
from sassafrasgate.placement.gangs import TimePassed

Commands = SendReserve | SendConfirm | SendStart | SendRelease
Replies = (
    PartReserved | PartRefused | PartConfirmed | PartStarted | PartReleased
)
PARTS = (GangPart('s3', 2), GangPart('s1', 4), GangPart('s2', 1))


def test_parts_are_reserved_in_name_order():
    state, actions = begin_gang('j', 1, 1, PARTS, 0)
    asked = []
    for _ in PARTS:
        (action,) = actions
        asked.append(action.shard)
        state, actions = step_gang(state, PartReserved(action.shard, 1), 0)
    assert asked == ['s1', 's2', 's3']
    assert actions == (RecordIntent(),)


def test_gang_needs_parts():
    with pytest.raises(ValueError, match='no parts'):
        begin_gang('j', 1, 1, (), 0)


@dataclass(frozen=True)
class World:
    """A home shard, the holds of two shards, and every message ever sent.

    Messages are never taken away, so that each may arrive late, repeatedly
    or never. Time is not counted: a timer may go off and a reservation may
    lapse at any moment.
    """

    state: GangState
    holds: tuple[tuple[str, Hold], ...] = (('s1', Hold()), ('s2', Hold()))
    messages: frozenset = frozenset()
    recorded: bool = False
    cancelled: bool = False
    path: tuple[str, ...] = field(default=(), compare=False)


LATE = 10**6
TWO_PARTS = (GangPart('s1', 1), GangPart('s2', 1))


def apply_step(world, step, name, **changes):
    state, actions = step
    return replace(
        world,
        state=replace(state, asked_at=0, sent_at=0),
        messages=world.messages | set(actions),
        path=(*world.path, name),
        **changes,
    )


def answer(message, hold):
    """Return the hold after a command and the kind of the reply."""
    if isinstance(message, SendReserve):
        hold, held = reserve_hold(hold, message, True, 0)
        return hold, PartReserved if held else PartRefused
    if isinstance(message, SendConfirm):
        hold, held = confirm_hold(hold, message, 0)
        return hold, PartConfirmed if held else PartRefused
    if isinstance(message, SendStart):
        hold, held = start_hold(hold, message)
        return hold, PartStarted if held else None
    hold, dropped = release_hold(hold, message)
    return hold, PartReleased if dropped else None


def deliver(world, message):
    if isinstance(message, Commands):
        holds = dict(world.holds)
        hold, reply = answer(message, holds[message.shard])
        holds[message.shard] = hold
        sent = {reply(message.shard, message.epoch)} if reply else set()
        if hold == dict(world.holds)[message.shard] and (
            sent <= world.messages
        ):
            return world
        return replace(
            world,
            holds=tuple(holds.items()),
            messages=world.messages | sent,
            path=(*world.path, f'deliver {message}'),
        )
    recorded = world.recorded
    event = message
    if isinstance(message, RecordIntent):
        event, recorded = IntentRecorded(), True
    elif not isinstance(message, Replies):
        return world
    step = step_gang(world.state, event, 0)
    if step == (world.state, ()) and recorded == world.recorded:
        return world
    return apply_step(world, step, f'deliver {message}', recorded=recorded)


def list_next(world):
    """Return every world that one event can lead to."""
    worlds = [deliver(world, message) for message in world.messages]
    step = step_gang(world.state, TimePassed(), LATE)
    worlds.append(apply_step(world, step, 'time'))
    for number, (shard, hold) in enumerate(world.holds):
        holds = list(world.holds)
        holds[number] = (shard, lapse_hold(hold, LATE))
        worlds.append(replace(world, holds=tuple(holds)))
    if not world.cancelled:
        step = step_gang(world.state, GangCancelled(), 0)
        worlds.append(apply_step(world, step, 'cancel', cancelled=True))
    if world.recorded and world.state.epoch == 1:
        step = resume_gang('j', 1, 2, TWO_PARTS, 0)
        worlds.append(apply_step(world, step, 'successor'))
    return worlds


def explore():
    """Return all worlds that can be reached."""
    world = World(begin_gang('j', 1, 1, TWO_PARTS, 0)[0])
    world = apply_step(world, begin_gang('j', 1, 1, TWO_PARTS, 0), 'begin')
    seen = {world}
    todo = [world]
    while todo:
        for following in list_next(todo.pop()):
            if following not in seen:
                seen.add(following)
                todo.append(following)
    return seen


def test_gangs_are_all_or_nothing_in_every_reachable_world():
    # Guards against lapsed reservations, late releases of an earlier owner
    # and cancellations that would leave a part of a gang running.
    ends = set()
    for world in explore():
        phases = {hold.phase for _, hold in world.holds}
        if HoldPhase.STARTED in phases:
            assert phases <= {HoldPhase.STARTED, HoldPhase.FIRM}, world.path
        if world.state.phase is GangPhase.STARTED:
            assert phases == {HoldPhase.STARTED}, world.path
        if world.state.phase is GangPhase.REFUSED:
            # A part that was never asked for holds nothing either.
            assert phases <= {HoldPhase.RELEASED, HoldPhase.NOTHING}
        ends.add(world.state.phase)
    assert ends == set(GangPhase)
