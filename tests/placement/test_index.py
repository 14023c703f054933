"""Tests guarantee 1: reservations never exceed the host inventory."""

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import booleans
from hypothesis.strategies import builds
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from
import pytest

from sassafrasgate.core.errors import UnknownNameError
from sassafrasgate.core.hosts import Host
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.index import HostIndex
from sassafrasgate.placement.index import NoRoomError
from tests.placement.builders import CAPACITY
from tests.placement.builders import make_host

NAMES = sampled_from(['h1', 'h2', 'h3'])
TASKS = sampled_from([f'j.{number}.1' for number in range(6)])
AMOUNTS = builds(
    Resources,
    integers(0, 6),
    integers(0, 6),
    integers(0, 1),
    integers(0, 2),
    integers(0, 2),
)


def sum_resources(amounts):
    total = NO_RESOURCES
    for amount in amounts:
        total = total + amount
    return total


class IndexMachine(RuleBasedStateMachine):
    """Compares the index with plain sums of the reservations."""

    @initialize()
    def start(self):
        self.index = HostIndex()
        self.capacity = {}
        self.held = {}
        self.first = {}
        self.is_open = {}
        self.forced = set()

    @rule(name=NAMES, capacity=AMOUNTS)
    def add_host(self, name, capacity):
        # As with force, reservations may exceed a capacity that shrinks.
        if not sum_resources(self.list_held(name)).fits_in(capacity):
            self.forced.add(name)
        self.index.add_host(Host(name, '', 'r', 'd', capacity))
        self.capacity[name] = capacity
        self.is_open.setdefault(name, True)

    @rule(name=NAMES, is_open=booleans())
    def set_open(self, name, is_open):
        if name not in self.capacity:
            return
        self.index.set_open(name, is_open)
        self.is_open[name] = is_open

    @rule(name=NAMES, task=TASKS, amount=AMOUNTS, force=booleans())
    def reserve(self, name, task, amount, force):
        if name not in self.capacity:
            with pytest.raises(UnknownNameError):
                self.index.reserve(name, task, amount)
            return
        held = self.held.get((name, task), NO_RESOURCES)
        try:
            self.index.reserve(name, task, amount, force=force)
        except NoRoomError:
            assert not force
            assert not (held.take_maximum(amount) - held).fits_in(
                self.index.find_free(name)
            )
            return
        self.held[name, task] = held.take_maximum(amount)
        self.first.setdefault((name, task), amount)
        if force:
            self.forced.add(name)

    @rule(name=NAMES, task=TASKS, amount=AMOUNTS)
    def resize(self, name, task, amount):
        if (name, task) not in self.held:
            return
        wanted = amount.take_maximum(self.first[name, task])
        try:
            self.index.resize(name, task, amount)
        except NoRoomError:
            assert not wanted.fits_in(self.held[name, task])
            return
        self.held[name, task] = wanted

    @rule(name=NAMES, task=TASKS)
    def release(self, name, task):
        was_held = self.held.pop((name, task), None) is not None
        self.first.pop((name, task), None)
        assert self.index.release(name, task) == was_held

    @invariant()
    def sums_agree(self):
        for name, capacity in self.capacity.items():
            reserved = sum_resources(self.list_held(name))
            assert self.index.find_reserved(name) == reserved
            assert self.index.find_free(name) == capacity - reserved
            assert self.index.is_open(name) == self.is_open[name]
            if name not in self.forced:
                assert reserved.fits_in(capacity)

    @invariant()
    def totals_agree(self):
        free = [
            self.index.find_free(name).take_maximum(NO_RESOURCES)
            for name in self.capacity
            if self.is_open[name]
        ]
        assert self.index.sum_free() == sum_resources(free)
        assert all(
            amount.fits_in(self.index.find_largest_free()) for amount in free
        )

    @invariant()
    def fitting_hosts_agree(self):
        for amount in (Resources(1, 1), Resources(0, 3, 1), Resources(5)):
            expected = {
                name
                for name in self.capacity
                if self.is_open[name]
                and amount.fits_in(self.index.find_free(name))
            }
            assert set(self.index.list_fitting(amount)) == expected

    def list_held(self, name):
        return [
            amount for (host, _), amount in self.held.items() if host == name
        ]


IndexMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=30
)
TestIndexMachine = IndexMachine.TestCase


def test_removed_host_keeps_its_reservations_until_released():
    # Otherwise a host that is removed from the inventory and added again
    # would get new tasks in addition to those that are still running.
    index = HostIndex()
    index.add_host(make_host(1))
    index.reserve('h1', 'j.0.1', CAPACITY)
    index.remove_host('h1')
    assert not index.is_open('h1')
    index.add_host(make_host(1))
    assert index.is_open('h1')
    with pytest.raises(NoRoomError):
        index.reserve('h1', 'j.0.2', Resources(1))
    index.remove_host('h1')
    index.release('h1', 'j.0.1')
    assert 'h1' not in index.hosts


def test_repeated_reservation_counts_once():
    # Recovery reads the same task from the journal and from its worker.
    index = HostIndex()
    index.add_host(make_host(1))
    index.reserve('h1', 'j.0.1', Resources(1000, 10))
    index.reserve('h1', 'j.0.1', Resources(500, 20), force=True)
    assert index.find_reserved('h1') == Resources(1000, 20)


def test_resize_never_goes_below_the_first_reservation():
    # A demand estimate may raise the declared demand, but never lower it.
    index = HostIndex()
    index.add_host(make_host(1))
    index.reserve('h1', 'j.0.1', Resources(1000, 100))
    index.resize('h1', 'j.0.1', Resources(3000, 50))
    assert index.find_reserved('h1') == Resources(3000, 100)
    index.resize('h1', 'j.0.1', Resources(500, 200))
    assert index.find_reserved('h1') == Resources(1000, 200)
    with pytest.raises(NoRoomError):
        index.resize('h1', 'j.0.1', Resources(17000))
