"""Duration for which workers may hold a hold call open.

A hold call is a long poll: the worker replies when a run ends, or after the
wait. A long wait saves calls, which are priced. If the reply to a call is
lost, the owner learns nothing from the worker until the call times out, so
the wait is short while calls go unanswered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.dispatch.actions import ChangeHoldWait
from sassafrasgate.dispatch.actions import LogEvent

if TYPE_CHECKING:
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState

NORMAL_HOLD_WAIT_MS = 2_000
SHORT_HOLD_WAIT_MS = 400
# Bound on the rate of polls of all workers together. A higher rate would take
# too much of the owner's processor time.
MAX_POLLS_PER_S = 120
# The short wait applies once this many calls within the window got no reply.
SHORT_WAIT_UNANSWERED_CALLS = 2
UNANSWERED_WINDOW_MS = 4_000


def record_unanswered_call(state: DispatchState) -> None:
    """Record that a call to a worker got no reply."""
    state.unanswered_at.append(state.now)


def adjust_hold_wait(state: DispatchState) -> Actions:
    """Shorten the wait while calls go unanswered, and restore it after."""
    oldest = state.now - UNANSWERED_WINDOW_MS
    state.unanswered_at = [at for at in state.unanswered_at if at > oldest]
    short = len(state.unanswered_at) >= SHORT_WAIT_UNANSWERED_CALLS
    wait_ms = NORMAL_HOLD_WAIT_MS
    if short:
        min_wait_ms = len(state.workers) * 1_000 // MAX_POLLS_PER_S
        wait_ms = min(
            max(SHORT_HOLD_WAIT_MS, min_wait_ms), NORMAL_HOLD_WAIT_MS
        )
    if wait_ms == state.hold_wait_ms:
        return
    state.hold_wait_ms = wait_ms
    yield ChangeHoldWait(wait_ms)
    yield LogEvent(
        'hold-wait',
        '',
        (('wait_ms', wait_ms), ('unanswered', len(state.unanswered_at))),
    )
