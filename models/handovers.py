"""Owners that replace each other while a run of the first one is on worker A.

The first owner can't reach the store and acts on for its outage grace. Its
successors may not reach worker A; each hands over or is killed at any time.
Worker A may restart once and then obeys any owner. Times are multiples of
`UNIT_MS`, so that the rules of the dispatcher apply with their real values.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import register_specification
from models.specifications import StateMachine
from sassafrasgate.dispatch.leases import compute_worker_lease_expiry
from sassafrasgate.dispatch.leases import WORKER_LEASE_MS
from sassafrasgate.dispatch.prior_leases import compute_lease_bound
from sassafrasgate.dispatch.prior_leases import LeaseBound
from sassafrasgate.dispatch.prior_leases import list_remaining_waits
from sassafrasgate.dispatch.prior_leases import Release
from sassafrasgate.dispatch.prior_leases import shorten_lease_bound
from sassafrasgate.shards.ownership import OwnerTerm

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Transition

UNIT_MS = 1_500
TTL_MS = UNIT_MS
GRACE_MS = 4 * UNIT_MS
LEASE_UNITS = WORKER_LEASE_MS // UNIT_MS
# Time after which the first owner sends nothing more.
LAST_CALL = (TTL_MS + GRACE_MS) // UNIT_MS
LAPSE_MS = 5_000
HORIZON = LAST_CALL + LEASE_UNITS + 1
MAX_EPOCH = 4
WORKER = 'A'

RELEASE_NAMES_WAITS = 'the record of a hand-over names the waits'
ALL_TERMS = 'every owner that may act counts'
GRANTED_LEASES = 'owners that have ended leave granted leases'
CONFIRMED_OWNER = 'no expiry for an owner that may be replaced'
FENCED_INCARNATION = 'no start in an outage on an unfenced incarnation'


class HandoverState(NamedTuple):
    """State of the first owner, the current one and worker A.

    Parameters
    ----------
    now : int
        Time.
    first_alive : bool
        Whether the process of the first owner runs.
    granted_at : int
        Time of the first owner's latest grant to worker A.
    deadline : int
        Time until which the run of the first owner goes on on worker A; 0
        if there is none.
    restarted : bool
        Whether worker A has restarted.
    fence : int
        Highest epoch that worker A has seen in its incarnation.
    epoch : int
        Epoch of the current owner; 1 is the first owner.
    terms : tuple of OwnerTerm
        Owners before the current one that may still act.
    release : Release or None
        Statement of the latest owner that has handed over.
    wait_until_ms : int
        When runs on worker A count as gone for the current owner; -1 once
        the worker has replied to it.
    second_run : bool
        Whether the task has started again on another worker.
    """

    now: int = 0
    first_alive: bool = True
    granted_at: int = 0
    deadline: int = LEASE_UNITS
    restarted: bool = False
    fence: int = 1
    epoch: int = 1
    terms: tuple[OwnerTerm, ...] = ()
    release: Release | None = None
    wait_until_ms: int = 0
    second_run: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the run of the first owner is on worker A."""
        return self.now < self.deadline


def _make_term(epoch: int) -> OwnerTerm:
    # Only the first owner has a grace, as after a change of the settings.
    return OwnerTerm(
        f'owner-{epoch}', epoch, TTL_MS, GRACE_MS if epoch == 1 else 0
    )


class _Transitions:
    """Transitions of the owners and of worker A."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_transitions(self, state: HandoverState) -> Iterator[Transition]:
        """Return the transitions from a state."""
        if state.second_run:
            return
        if state.now < HORIZON:
            yield 'time passes', state._replace(now=state.now + 1)
        yield from self._list_first_owner(state)
        if not state.restarted:
            yield (
                'worker A restarts',
                state._replace(restarted=True, fence=0, deadline=0),
            )
        if state.epoch == 1:
            if state.now >= TTL_MS // UNIT_MS:
                yield 'owner-2 takes over', self._take_over(state, None)
            return
        yield from self._list_current_owner(state)

    def _list_first_owner(self, state: HandoverState) -> Iterator[Transition]:
        if not state.first_alive or state.now >= LAST_CALL:
            return
        yield 'owner-1 is killed', state._replace(first_alive=False)
        yield from self._list_expiry(state)
        if state.fence > 1:
            return
        may_start = (
            not state.restarted or FENCED_INCARNATION not in self.guards
        )
        if state.is_running or may_start:
            yield (
                'owner-1 starts the task or renews its lease',
                state._replace(
                    fence=1,
                    granted_at=state.now,
                    deadline=state.now + LEASE_UNITS,
                ),
            )

    def _list_expiry(self, state: HandoverState) -> Iterator[Transition]:
        """List the first owner's start of the task after its own lease."""
        expires_at = compute_worker_lease_expiry(state.granted_at * UNIT_MS, 0)
        may_be_replaced = state.now * UNIT_MS >= TTL_MS
        if may_be_replaced and CONFIRMED_OWNER in self.guards:
            return
        if state.now * UNIT_MS >= expires_at:
            yield (
                'owner-1 counts its lease as expired, the task starts again',
                state._replace(second_run=True),
            )

    def _list_current_owner(
        self, state: HandoverState
    ) -> Iterator[Transition]:
        if state.epoch < MAX_EPOCH:
            yield (
                f'owner-{state.epoch} is killed and replaced',
                self._take_over(state, None),
            )
            yield (
                f'owner-{state.epoch} hands over',
                self._take_over(state, self._make_release(state)),
            )
        if state.wait_until_ms < 0:
            if not state.is_running:
                yield 'the task starts again', state._replace(second_run=True)
            elif state.fence == state.epoch:
                yield (
                    f'owner-{state.epoch} renews the lease',
                    state._replace(deadline=state.now + LEASE_UNITS),
                )
            return
        yield (
            f'worker A replies to owner-{state.epoch}',
            state._replace(fence=state.epoch, wait_until_ms=-1),
        )
        if not state.first_alive and state.terms:
            yield 'the other owners have ended', self._shorten(state)
        if state.now * UNIT_MS >= state.wait_until_ms:
            yield (
                'the task starts again after the wait',
                state._replace(second_run=True),
            )

    def _make_release(self, state: HandoverState) -> Release:
        waits_ms: tuple[tuple[str, int], ...] = ()
        if state.wait_until_ms >= 0 and RELEASE_NAMES_WAITS in self.guards:
            bounds = {WORKER: LeaseBound(state.wait_until_ms, '')}
            waits_ms = list_remaining_waits(bounds, state.now * UNIT_MS)
        owner = f'owner-{state.epoch}'
        return Release(state.epoch, owner, LAPSE_MS, waits_ms)

    def _take_over(
        self, state: HandoverState, release: Release | None
    ) -> HandoverState:
        terms = state.terms
        if release is None:
            terms = (*terms, _make_term(state.epoch))
        counted = terms
        if ALL_TERMS not in self.guards:
            counted = terms[-1:]
        waits_ms = release.waits_ms if release is not None else None
        wait_ms = dict(waits_ms).get(WORKER, 0) if waits_ms is not None else 0
        bound = compute_lease_bound(
            state.now * UNIT_MS, counted, release, wait_ms
        )
        return state._replace(
            epoch=state.epoch + 1,
            terms=terms,
            release=release,
            wait_until_ms=bound.expires_at,
        )

    def _shorten(self, state: HandoverState) -> HandoverState:
        now_ms = state.now * UNIT_MS
        bound = shorten_lease_bound(
            LeaseBound(state.wait_until_ms, ''), now_ms
        )
        if GRANTED_LEASES not in self.guards:
            bound = LeaseBound(now_ms, '')
        return state._replace(terms=(), wait_until_ms=bound.expires_at)


@register_specification(
    'attempts.handover',
    (
        RELEASE_NAMES_WAITS,
        ALL_TERMS,
        GRANTED_LEASES,
        CONFIRMED_OWNER,
        FENCED_INCARNATION,
    ),
)
def build_handover(guards: frozenset[str]) -> StateMachine:
    """Build the model of takeovers and hand-overs beside an old owner."""
    return StateMachine(
        HandoverState(),
        _Transitions(guards).list_transitions,
        {
            'a task that starts again has no other run': lambda s: (
                not (s.second_run and s.is_running)
            ),
        },
        {
            'the task starts again after a wait': lambda s: (
                s.second_run and s.wait_until_ms >= 0
            ),
            'the task starts again after a report': lambda s: (
                s.second_run and s.wait_until_ms < 0
            ),
            'the first owner renews after a hand-over': lambda s: (
                s.release is not None and s.deadline > s.now + 2
            ),
        },
    )
