"""Tests publication with lost replies, late writes and races.

The result of a publication must agree with the changes that took effect,
also when the store did not reply or another writer published first.
"""

from functools import partial

import anyio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from sassafrasgate.configuration.publication import MANIFEST_KEY
from sassafrasgate.configuration.publication import PART_PREFIX
from sassafrasgate.configuration.publication import publish_configuration
from sassafrasgate.configuration.publication import read_configuration
from sassafrasgate.configuration.versions import ConfigurationError
from sassafrasgate.configuration.versions import decode_manifest
from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.cells import Team
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.errors import StoreUnavailableError
from tests.configuration.stores import FakeStore

FIRST = Configuration(change='first', cell='c')
MINE = Configuration(change='mine', cell='c', teams=(Team('mine'),))
RIVAL = Configuration(change='rival', cell='c', teams=(Team('rival'),))


@pytest.fixture(scope='module', autouse=True)
def no_backoff():
    """Remove the delays between attempts."""
    with pytest.MonkeyPatch.context() as patch:
        path = 'sassafrasgate.configuration.publication.INITIAL_BACKOFF_S'
        patch.setattr(path, 0.0)
        yield


def publish(store, new, expected):
    return anyio.run(publish_configuration, store, new, expected)


def read(store, known=None):
    return anyio.run(read_configuration, store, known)


def list_changes(store):
    return [decode_manifest(value).change for value in store.manifests]


def test_versions_increase_by_one_and_only_new_parts_are_read():
    store = FakeStore()
    assert read(store) is None
    first = publish(store, FIRST, 0)
    second = publish(store, MINE, 1)
    assert (first.version, second.version) == (1, 2)
    assert read(store) == second
    store.calls.clear()
    assert read(store, second) == second
    assert store.calls == [('get', MANIFEST_KEY)]


def test_the_manifest_is_written_after_its_parts():
    # Processes could not load a manifest that refers to a missing part.
    store = FakeStore()
    publish(store, FIRST, 0)
    writes = [key for name, key in store.calls if name != 'get']
    assert writes[-1] == MANIFEST_KEY
    assert writes[0].startswith(PART_PREFIX)


@pytest.mark.parametrize('expected', [0, 2])
def test_a_change_of_another_version_is_a_conflict(expected):
    store = FakeStore()
    publish(store, FIRST, 0)
    refusal = publish(store, MINE, expected)
    assert refusal.kind == RefusalKind.CONFLICT
    assert 'version 1 is current' in refusal.reason
    assert 'apply it again' in refusal.remedy
    assert list_changes(store) == ['first']


def test_losing_against_a_concurrent_change_is_a_conflict():
    store = FakeStore()
    publish(store, FIRST, 0)
    store.concurrent_change = partial(publish_configuration, store, RIVAL, 1)
    refusal = publish(store, MINE, 1)
    assert refusal.kind == RefusalKind.CONFLICT
    assert read(store).change == 'rival'


def test_an_accepted_change_is_recognized_after_later_changes():
    # The reply is lost, and another writer publishes the next version before
    # the manifest is read back. The latest change id is then the other one.
    store = FakeStore(['ok', 'ok', 'lost'])
    store.following_change = partial(publish_configuration, store, RIVAL, 1)
    result = publish(store, MINE, 0)
    assert result == Configuration(1, 'mine', 'c', teams=(Team('mine'),))
    assert list_changes(store) == ['mine', 'rival']
    assert read(store).change == 'rival'


def test_a_repeated_change_is_accepted_once():
    store = FakeStore()
    first = publish(store, MINE, 0)
    assert publish(store, MINE, 0) == first
    assert list_changes(store) == ['mine']


def test_a_store_outage_before_the_manifest_is_a_refusal():
    store = FakeStore(['ok'] + ['down'] * 20)
    refusal = publish(store, MINE, 0)
    assert refusal.kind == RefusalKind.STORE_UNAVAILABLE
    assert store.manifests == []


def test_a_store_outage_after_the_manifest_is_an_unknown_outcome():
    store = FakeStore(['ok', 'ok', 'lost'] + ['down'] * 20)
    with pytest.raises(StoreUnavailableError, match="'mine'"):
        publish(store, MINE, 0)
    assert list_changes(store) == ['mine']


def test_a_missing_part_raises_a_configuration_error():
    store = FakeStore()
    publish(store, MINE, 0)
    (part,) = [key for key in store.items if key.startswith(PART_PREFIX)]
    del store.items[part]
    with pytest.raises(ConfigurationError, match='not in the store'):
        read(store)


OUTCOMES = strategies.sampled_from(['ok', 'ok', 'down', 'lost', 'late'])


@given(strategies.lists(OUTCOMES, max_size=14), strategies.booleans())
@settings(derandomize=True, max_examples=300)
def test_the_result_agrees_with_the_changes_that_took_effect(script, race):
    store = FakeStore()
    publish(store, FIRST, 0)
    store.script = script
    if race:
        store.concurrent_change = partial(
            publish_configuration, store, RIVAL, 1
        )
    try:
        result = publish(store, MINE, 1)
    except StoreUnavailableError:
        result = None
    # Writes that are still in flight take effect now.
    store.calls.append('the end')
    store.apply_late_writes()
    changes = list_changes(store)
    assert len(changes) <= 2
    assert changes.count('mine') <= 1
    if isinstance(result, Refusal):
        assert 'mine' not in changes
    elif result is not None:
        assert changes[result.version - 1] == 'mine'
    versions = [decode_manifest(value).version for value in store.manifests]
    assert versions == list(range(1, len(versions) + 1))
