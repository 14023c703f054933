"""Tests which connections a process closes when they use too much."""

import pytest

from sassafrasgate.core.caller_limits import CallerLimits
from sassafrasgate.http.admission import AdmissionBudget
from sassafrasgate.http.admission import AdmissionControl
from sassafrasgate.http.admission import compute_budget
from sassafrasgate.http.admission import CONNECTION_BYTES
from sassafrasgate.http.admission import ConnectionState
from sassafrasgate.http.admission import ConnectionUsage
from sassafrasgate.http.admission import ServiceClock
from sassafrasgate.http.admission import SMALL_BYTES
from sassafrasgate.http.time_limits import BODY_TIMEOUT_MS
from sassafrasgate.http.time_limits import is_overdue
from sassafrasgate.http.time_limits import MARGIN_MS

KIB = 1024
BODY_BYTES = 256 * KIB


class Clock:
    """A clock that a test moves."""

    def __init__(self):
        self.now_ms = 0

    def read(self):
        return self.now_ms


def make_control(max_bytes=1024 * KIB, max_connections=100):
    budget = AdmissionBudget(max_bytes, max_connections)
    return AdmissionControl(budget, Clock())


def open_connection(control, state, held_bytes=0):
    usage = control.open()
    control.enter(usage, state)
    control.hold(usage, held_bytes)
    return usage


def test_largest_and_oldest_requests_go_first():
    """Guards against a crowd that stays while new requests are refused."""
    control = make_control()
    old = open_connection(control, ConnectionState.BODY, BODY_BYTES)
    control._clock.now_ms = 5_000
    small = open_connection(control, ConnectionState.BODY, KIB)
    bodies = [
        open_connection(control, ConnectionState.BODY, BODY_BYTES)
        for _ in range(3)
    ]

    assert control.is_over_budget
    victims = control.find_excess()
    assert victims[0] is old
    assert small not in victims
    assert len(victims) < 1 + len(bodies)


def test_requests_that_may_have_run_are_kept():
    """Guards against a refusal of what has run, which must not be sent."""
    control = make_control()
    for _ in range(6):
        open_connection(control, ConnectionState.SERVED, BODY_BYTES)
    assert control.find_excess() == []

    sends_ahead = open_connection(control, ConnectionState.SERVED, BODY_BYTES)
    sends_ahead.is_paused = True
    assert control.find_excess() == [sends_ahead]


def test_large_requests_leave_a_share_for_small_ones():
    """Guards against ordinary requests that find all memory in use."""
    control = make_control()
    large = [
        open_connection(control, ConnectionState.BODY, BODY_BYTES)
        for _ in range(4)
    ]
    small = [
        open_connection(control, ConnectionState.BODY, KIB) for _ in range(4)
    ]

    victims = control.find_excess()
    assert victims
    assert set(victims) <= set(large)
    for usage in victims:
        control.close(usage)
    assert not control.is_over_budget
    assert control.connections == len(large) + len(small) - len(victims)


def test_connections_that_wait_longest_make_room():
    """Guards against silent connections that use up the descriptors."""
    control = make_control(max_connections=3)
    first = open_connection(control, ConnectionState.IDLE)
    control._clock.now_ms = 1_000
    open_connection(control, ConnectionState.IDLE)
    assert control.make_room() == []
    served = open_connection(control, ConnectionState.SERVED)
    assert control.make_room() == [first]

    for usage in tuple(control._usages):
        control.enter(usage, ConnectionState.SERVED)
    assert control.make_room() is None
    control.disconnect(served)
    assert control.make_room() == []


def test_what_a_lost_connection_holds_counts_until_its_end():
    """Guards against memory of requests whose clients have left."""
    control = make_control()
    usage = open_connection(control, ConnectionState.SERVED, BODY_BYTES)
    control.disconnect(usage)
    assert control.used_bytes == BODY_BYTES
    assert control.large_bytes == BODY_BYTES - SMALL_BYTES
    control.close(usage)
    assert (control.used_bytes, control.large_bytes) == (0, 0)


@pytest.mark.parametrize(
    ('memory_mb', 'max_descriptors'), [(160, 4_100), (552, 4_100)]
)
def test_ordinary_traffic_is_within_the_budget(memory_mb, max_descriptors):
    """Guards against defaults that clients inside the limits meet."""
    budget = compute_budget(memory_mb, max_descriptors)
    assert budget.max_connections >= 2_000
    used = 2_000 * CONNECTION_BYTES + 100 * 4 * KIB + 8 * 2 * BODY_BYTES
    assert used < budget.max_bytes


def test_suspended_process_does_not_make_clients_late():
    """Guards against refusals of requests that waited unread."""
    source = Clock()
    clock = ServiceClock(source.read, 2_000)
    source.now_ms = 60_000
    assert clock.read() == 2_000
    source.now_ms = 61_000
    assert clock.read() == 3_000


@pytest.mark.parametrize(
    ('state', 'age_ms', 'overdue'),
    [
        (ConnectionState.HEAD, 3_000 + MARGIN_MS, False),
        (ConnectionState.HEAD, 3_001 + MARGIN_MS, True),
        (ConnectionState.IDLE, 15_000 + MARGIN_MS, False),
        (ConnectionState.IDLE, 15_001 + MARGIN_MS, True),
        (ConnectionState.SERVED, 10**9, False),
        (ConnectionState.BODY, BODY_TIMEOUT_MS + 1, True),
    ],
)
def test_states_have_time_limits(state, age_ms, overdue):
    """Guards against connections that stay open for ever."""
    limits = CallerLimits(header_timeout_ms=3_000, idle_timeout_ms=15_000)
    assert is_overdue(ConnectionUsage(0, state), limits, age_ms) is overdue


def test_slow_body_is_received():
    """Guards against a time limit that a slow client's body exceeds."""
    for second in range(64):
        usage = ConnectionUsage(0, ConnectionState.BODY)
        usage.body_bytes = second * 4 * KIB
        assert not is_overdue(usage, CallerLimits(), second * 1_000)
