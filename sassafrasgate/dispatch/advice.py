"""Calls to the advice service, which says which workers may run a step.

The service handles one call at a time for each host that calls it, so calls
are distributed over the entry hosts. Short calls are made by the owner's
host. Long calls go to other hosts, so that they do not delay short ones.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.dispatch.actions import AskAdvice
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.entries import AdviceChannel
from sassafrasgate.dispatch.entries import StepAdvice
from sassafrasgate.dispatch.entries import Ticket
from sassafrasgate.dispatch.events import AdviceAnswered
from sassafrasgate.dispatch.events import AdviceFailed
from sassafrasgate.dispatch.events import PeersChanged
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrasgate.core.routing import AdviceTiming
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.identities import StepKey
    from sassafrasgate.dispatch.state import DispatchState

MAX_WORKERS_PER_CALL = 100
# A longer call is not made by the owner's host if there are other entry hosts.
LONG_CALL_MS = 60
# Time for a message to another entry host and its reply, and the same for the
# service.
PEER_ROUND_TRIP_MS = 15
SERVICE_ROUND_TRIP_MS = 8
# A call is not made if it would have to wait longer than this for other calls
# of its host. The step asks again in a later pass.
MAX_BACKLOG_MS = 1_200
# A ticket must remain valid until the start call reaches the worker.
TICKET_MARGIN_MS = 80
# Delay before a failed call is repeated; it doubles with each failure.
INITIAL_RETRY_MS = 100
MAX_RETRY_MS = 1_000


def is_ticket_valid(ticket: Ticket, incarnation_ms: int, now: int) -> bool:
    """Return whether a ticket will be valid when a start call arrives.

    Parameters
    ----------
    incarnation_ms : int
        Current incarnation of the worker.
    now : int
        Owner's clock, in ms.
    """
    if incarnation_ms != ticket.incarnation_ms:
        return False
    return now + TICKET_MARGIN_MS < ticket.expires_at


def may_request_advice(state: DispatchState, key: StepKey) -> bool:
    """Return whether advice about a step may be requested now.

    It may not while a call is pending, or before the retry delay of a failed
    call has passed.
    """
    advice = state.advice.get(key)
    if advice is None:
        return True
    if advice.pending_workers:
        return False
    if not advice.failures:
        return True
    delay = min(INITIAL_RETRY_MS << min(advice.failures, 5), MAX_RETRY_MS)
    return state.now >= advice.requested_at + delay


def request_advice(
    state: DispatchState,
    key: StepKey,
    timing: AdviceTiming,
    workers: Iterable[str],
) -> Actions:
    """Request advice about workers for a step.

    No call is made if every entry host is busy for too long.
    """
    asked = tuple(workers)[:MAX_WORKERS_PER_CALL]
    if not asked:
        return
    call_ms = estimate_call_ms(timing, len(asked))
    channel = _choose_channel(state, call_ms)
    if channel is None:
        return
    ready_at = max(channel.busy_until, state.now) + call_ms
    state.advice_channels[channel.entry_host] = replace(
        channel, busy_until=ready_at
    )
    advice = state.advice.get(key, StepAdvice())
    state.advice[key] = replace(
        advice,
        pending_workers=frozenset(asked),
        asked_incarnations={
            **advice.asked_incarnations,
            **{name: state.workers[name].incarnation_ms for name in asked},
        },
        requested_at=state.now,
    )
    yield AskAdvice(key, asked, channel.entry_host, ready_at - state.now)


def estimate_call_ms(timing: AdviceTiming, workers: int) -> int:
    """Return the expected duration of a call about some workers, in ms.

    Parameters
    ----------
    workers : int
        Number of workers that the call asks about.
    """
    return (
        int(timing.decide_ms + timing.each_ms * workers)
        + SERVICE_ROUND_TRIP_MS
    )


def _choose_channel(
    state: DispatchState, call_ms: int
) -> AdviceChannel | None:
    """Return the channel that is free first, or None if all are too busy."""
    best: AdviceChannel | None = None
    best_at = state.now + MAX_BACKLOG_MS
    for number, channel in enumerate(state.advice_channels.values()):
        is_local = number == 0
        if (
            is_local
            and call_ms > LONG_CALL_MS
            and len(state.advice_channels) > 1
        ):
            continue
        begin = max(channel.busy_until, state.now) + (
            0 if is_local else PEER_ROUND_TRIP_MS
        )
        if begin < best_at:
            best, best_at = channel, begin
    return best


@EVENT_HANDLERS.register(PeersChanged)
def handle_peers_change(state: DispatchState, event: PeersChanged) -> Actions:
    """Update the channels to one for each entry host."""
    state.advice_channels = {
        name: state.advice_channels.get(name, AdviceChannel(name))
        for name in event.names
    }
    yield from ()


@EVENT_HANDLERS.register(AdviceAnswered)
def handle_advice(state: DispatchState, event: AdviceAnswered) -> Actions:
    """Store the tickets of a reply.

    Workers that the call asked about and that got no ticket are not
    admissible. A ticket is valid for the incarnation of its worker that the
    call asked about; a worker that has restarted since needs a new one.
    """
    advice = state.advice.get(event.step)
    if advice is None or event.step not in state.steps:
        return
    expires_at = event.answered_at + event.advice.valid_ms
    tickets = dict(advice.tickets)
    for worker in event.workers:
        tickets.pop(worker, None)
    for worker, ticket in event.advice.tickets:
        incarnation_ms = advice.asked_incarnations.get(worker)
        if incarnation_ms is not None:
            tickets[worker] = Ticket(ticket, expires_at, incarnation_ms)
    state.advice[event.step] = replace(
        advice, tickets=tickets, pending_workers=frozenset(), failures=0
    )
    state.needs_pass = True
    yield LogEvent(
        'advice',
        event.step.job_id,
        (
            ('step', f'{event.step.occurrence}.{event.step.step}'),
            ('asked', len(event.workers)),
            ('admitted', len(event.advice.tickets)),
            ('entry_host', event.entry_host),
            ('took_ms', state.now - advice.requested_at),
        ),
    )


def invalidate_ticket(state: DispatchState, key: StepKey, worker: str) -> None:
    """Keep a worker that has refused its ticket, without a valid ticket.

    The step asks for a new ticket in its next pass.
    """
    advice = state.advice.get(key)
    if advice is not None and worker in advice.tickets:
        ticket = advice.tickets[worker]
        state.gang_looks.pop(key, None)
        advice.tickets[worker] = replace(ticket, expires_at=0)


@EVENT_HANDLERS.register(AdviceFailed)
def handle_advice_failure(
    state: DispatchState, event: AdviceFailed
) -> Actions:
    """Allow the step to ask again about the workers of a failed call."""
    advice = state.advice.get(event.step)
    if advice is None or event.step not in state.steps:
        return
    asked = frozenset(event.workers) - advice.tickets.keys()
    state.advice[event.step] = replace(
        advice,
        pending_workers=frozenset(),
        asked_incarnations={
            name: incarnation_ms
            for name, incarnation_ms in advice.asked_incarnations.items()
            if name not in asked
        },
        failures=advice.failures + 1,
    )
    state.needs_pass = True
    yield LogEvent(
        'advice-failed',
        event.step.job_id,
        (
            ('step', f'{event.step.occurrence}.{event.step.step}'),
            ('entry_host', event.entry_host),
            ('reason', event.reason),
        ),
    )
