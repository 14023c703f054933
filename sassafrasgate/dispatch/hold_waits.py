"""How long a look at a worker may wait for news.

A long wait saves looks, which are priced. A look whose answer is lost keeps
the owner blind until its time limit, so looks are short while calls go
unanswered.
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
# Looks at all workers together; more would take too much of the owner's time.
MAX_POLLS_PER_S = 120
# So many calls without an answer in so much time call for short waits.
SHORT_WAIT_UNANSWERED_CALLS = 2
UNANSWERED_WINDOW_MS = 4_000


def record_unanswered_call(state: DispatchState) -> None:
    """Count a call to a worker that got no answer."""
    state.unanswered_at.append(state.now)


def adjust_hold_wait(state: DispatchState) -> Actions:
    """Change the length of looks when calls go unanswered, or no longer."""
    oldest = state.now - UNANSWERED_WINDOW_MS
    state.unanswered_at = [at for at in state.unanswered_at if at > oldest]
    short = len(state.unanswered_at) >= SHORT_WAIT_UNANSWERED_CALLS
    wait_ms = NORMAL_HOLD_WAIT_MS
    if short:
        least_ms = len(state.workers) * 1_000 // MAX_POLLS_PER_S
        wait_ms = min(max(SHORT_HOLD_WAIT_MS, least_ms), NORMAL_HOLD_WAIT_MS)
    if wait_ms == state.hold_wait_ms:
        return
    state.hold_wait_ms = wait_ms
    yield ChangeHoldWait(wait_ms)
    yield LogEvent(
        'hold-wait',
        '',
        (('wait_ms', wait_ms), ('unanswered', len(state.unanswered_at))),
    )
