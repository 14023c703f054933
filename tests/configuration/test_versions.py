"""Tests the encoding, order and differences of configuration versions.

Splitting a configuration into parts must not lose content, and a process
must never move to a lower version.
"""

from dataclasses import replace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from sassafrasgate.configuration.versions import choose_newer
from sassafrasgate.configuration.versions import ConfigurationError
from sassafrasgate.configuration.versions import decode_configuration
from sassafrasgate.configuration.versions import diff_configurations
from sassafrasgate.configuration.versions import encode_configuration
from sassafrasgate.configuration.versions import join_configuration
from sassafrasgate.configuration.versions import MAX_PART_BYTES
from sassafrasgate.configuration.versions import sort_configuration
from sassafrasgate.configuration.versions import split_configuration
from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.cells import Rule
from sassafrasgate.core.cells import Shard
from sassafrasgate.core.cells import Team
from sassafrasgate.core.hosts import Host
from sassafrasgate.core.resources import Resources

NAMES = strategies.sampled_from(['a', 'b', 'c', 'd', 'é'])
AMOUNTS = strategies.builds(Resources, *[strategies.integers(0, 9)] * 5)
TEXTS = strategies.lists(NAMES, max_size=2).map(tuple)
HOSTS = strategies.builds(
    Host, NAMES, NAMES, NAMES, NAMES, AMOUNTS, TEXTS, strategies.booleans()
)


def list_unique(entries):
    """Return a strategy for tuples of entries with distinct names."""
    return strategies.lists(
        entries, max_size=5, unique_by=lambda entry: entry.name
    ).map(tuple)


CONFIGURATIONS = strategies.builds(
    Configuration,
    strategies.integers(0, 99),
    NAMES,
    NAMES,
    list_unique(HOSTS),
    list_unique(strategies.builds(Shard, NAMES, NAMES, TEXTS)),
    list_unique(strategies.builds(Team, NAMES, quota=AMOUNTS)),
    list_unique(strategies.builds(Rule, NAMES, labels=TEXTS)),
)


def make_hosts(count, name='host'):
    capacity = Resources(1000, 1024, 0, 1, 1)
    return tuple(
        Host(f'{name}-{number:06}', f'http://{number}:1', 'r', 'd', capacity)
        for number in range(count)
    )


@given(CONFIGURATIONS)
@settings(derandomize=True, max_examples=150)
def test_splitting_and_encoding_preserve_the_configuration(configuration):
    ordered = sort_configuration(configuration)
    manifest, parts = split_configuration(configuration)
    assert set(manifest.list_names()) == set(parts)
    assert join_configuration(manifest, parts) == ordered
    assert decode_configuration(encode_configuration(ordered)) == ordered


@given(strategies.lists(strategies.integers(0, 9)))
@settings(derandomize=True)
def test_a_process_never_moves_to_a_lower_version(versions):
    held = Configuration()
    for number, version in enumerate(versions):
        offered = Configuration(version, f'change {number}')
        after = choose_newer(held, offered)
        assert after.version == max(held.version, version)
        # Two contents with one version would be a fork.
        assert after is held or after.version > held.version
        held = after


def test_a_change_in_one_domain_does_not_change_the_other_parts():
    hosts = make_hosts(4)
    other_domain_hosts = tuple(
        replace(host, name=f'x{host.name}', failure_domain='e')
        for host in hosts
    )
    old = Configuration(1, 'a', 'c', (*other_domain_hosts, *hosts))
    drained = replace(hosts[0], drained=True)
    new = Configuration(
        2, 'b', 'c', (*hosts[1:], drained, *other_domain_hosts)
    )
    _, before = split_configuration(old)
    _, after = split_configuration(new)
    assert len(after.keys() - before.keys()) == 1


def test_a_large_part_is_split_into_numbered_pieces():
    configuration = Configuration(1, 'a', 'c', make_hosts(40_000))
    manifest, parts = split_configuration(configuration)
    assert manifest.domains[0].pieces == 2
    assert max(map(len, parts.values())) == MAX_PART_BYTES
    assert join_configuration(manifest, parts) == configuration


@pytest.mark.parametrize(
    ('damage', 'problem'),
    [
        (lambda parts, name: parts.pop(name), 'missing'),
        (lambda parts, name: parts.update({name: b'\x90'}), 'digest'),
    ],
)
def test_missing_or_damaged_parts_are_rejected(damage, problem):
    manifest, parts = split_configuration(
        Configuration(1, 'a', 'c', make_hosts(2))
    )
    damage(parts, manifest.domains[0].digest)
    with pytest.raises(ConfigurationError, match=problem):
        join_configuration(manifest, parts)


def test_invalid_bytes_raise_a_configuration_error():
    with pytest.raises(ConfigurationError, match='same release'):
        decode_configuration(b'\x81\xa1a\x01')


@given(CONFIGURATIONS, CONFIGURATIONS)
@settings(derandomize=True, max_examples=60)
def test_a_diff_is_empty_only_for_equal_content(old, new):
    # Operators rely on the diff to see what applying a declaration changes.
    same = sort_configuration(old) == sort_configuration(
        replace(new, version=old.version, change=old.change)
    )
    moved = old.teams != new.teams and not diff_configurations(
        replace(old, teams=()), replace(new, teams=())
    )
    assert (diff_configurations(old, new) == ()) <= (same or moved)
    assert diff_configurations(old, replace(old, version=100)) == ()


def test_diff_lists_fields_with_old_and_new_values():
    hosts = make_hosts(2)
    rules = (Rule('p'), Rule('q'))
    old = Configuration(1, 'a', 'c', hosts, rules=rules)
    larger = replace(hosts[0], capacity=Resources(2000, 1024, 0, 1, 1))
    new = Configuration(
        0, '', 'c', (larger,), teams=(Team('t'),), rules=rules[::-1]
    )
    assert [str(line) for line in diff_configurations(old, new)] == [
        'changed hosts host-000000: capacity.millicores: 1000 -> 2000',
        'removed hosts host-000001',
        'added teams t',
        'moved rules c: order: q, p',
    ]
