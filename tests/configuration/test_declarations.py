"""Tests that a declaration gives a configuration or a list of all faults."""

from pathlib import Path
from pathlib import PurePath

import pytest

from sassafrasgate.configuration.checks import check_configuration
from sassafrasgate.configuration.declarations import check_declaration
from sassafrasgate.configuration.settings import load_settings
from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.cells import Shard
from sassafrasgate.core.hosts import Host
from sassafrasgate.core.resources import Resources

EXAMPLES = Path(__file__).parents[2] / 'examples'

ONE_FILE = """\
kind: inventory
cell: c
failure_domains:
  - name: d
    racks:
      - name: r
        hosts:
          - names: ['w-[09-10]', x]
            urls: ['http://127.0.0.[1-2]:80', 'http://[::1]:80']
            labels: [gpu]
            drained: true
            capacity:
              {cores: 0.5, memory: 1.5GiB, slots: 1, connections: 2}
---
kind: quotas
teams: [{name: t, quota: {cores: 2, memory: 0}}]
---
kind: rules
rules: [{name: q, team: t, labels: gpu, job_class: quick}]
"""


@pytest.mark.parametrize(
    ('cell', 'domains', 'capacity'),
    [
        ('brazos', 4, Resources(16000, 32768, 0, 8, 64)),
        ('suenario', 3, Resources(32000, 131072, 0, 8, 64)),
    ],
)
def test_examples_describe_the_cells_of_the_users(cell, domains, capacity):
    found = check_declaration(EXAMPLES / cell / 'declaration')
    assert found.cell == cell
    assert len(found.hosts) == 24
    assert len({host.url for host in found.hosts}) == 24
    assert {host.capacity for host in found.hosts} == {capacity}
    assert len(found.shards) == domains
    settings = [
        load_settings(path)
        for path in sorted((EXAMPLES / cell / 'settings').iterdir())
    ]
    addresses = {each.http_address for each in settings}
    addresses |= {each.link_address for each in settings} - {''}
    assert (len(settings), len(addresses)) == (14, 21)
    assert {each.failure_domain for each in settings} == {
        shard.name for shard in found.shards
    }


def test_one_file_may_hold_documents_of_all_kinds(tmp_path):
    path = tmp_path / 'cell.yaml'
    path.write_text(ONE_FILE)
    found = check_declaration(path)
    capacity = Resources(500, 1536, 0, 1, 2)
    assert found.hosts == tuple(
        Host(name, url, 'r', 'd', capacity, ('gpu',), True)
        for name, url in (
            ('w-09', 'http://127.0.0.1:80'),
            ('w-10', 'http://127.0.0.2:80'),
            ('x', 'http://[::1]:80'),
        )
    )
    assert found.shards == (Shard('d', 'd', ('r',)),)
    assert found.rules[0].labels == ('gpu',)
    assert found.teams[0].quota == Resources(2000)


def test_every_fault_of_the_invalid_example_is_listed():
    faults = check_declaration(EXAMPLES / 'broken' / 'declaration')
    found = [
        (PurePath(fault.file).stem, fault.line, fault.value or fault.problem)
        for fault in faults
    ]
    assert found == [
        ('hosts', 0, "'hosts.yaml'"),
        ('inventory', 5, '0.0005'),
        ('inventory', 6, "'32GB'"),
        ('inventory', 10, "'9000'"),
        ('inventory', 10, "'0'"),
        ('inventory', 18, "'conections'"),
        ('inventory', 27, "'east-a-3'"),
        ('inventory', 31, "'http://127.1.1.1:7070'"),
        ('inventory', 33, 'there are 2 names and 1 urls'),
        ('inventory', 35, "'plian'"),
        ('inventory', 36, "'east-b'"),
        ('inventory', 38, "'east-b-[9-1]'"),
        ('inventory', 39, "'http://worker.example:7070'"),
        ('inventory', 41, "'east b'"),
        ('inventory', 42, "'http://127.1.1.20'"),
        ('inventory', 44, "'draind'"),
        ('inventory', 47, "'east-a'"),
        ('inventory', 57, "'west-c'"),
        ('inventory', 59, "'west'"),
        ('inventory', 60, "'none'"),
        ('quotas', 3, '0'),
        ('quotas', 4, '-4'),
        ('quotas', 4, "'lots'"),
        ('quotas', 5, "'ledger'"),
        ('quotas', 6, '-1'),
        ('quotas', 7, '1.5'),
        ('rules', 4, "'west-b'"),
        ('rules', 6, "'wets'"),
        ('rules', 7, "'east-a'"),
        ('rules', 7, "'east-z'"),
        ('rules', 8, "'two'"),
        ('rules', 10, "'two'"),
        ('rules', 13, "'legder'"),
        ('rules', 14, "'eats'"),
        ('rules', 15, "'gpu'"),
        ('rules', 16, '500'),
        ('rules', 18, "'bacth'"),
        ('rules', 19, "'maybe'"),
    ]
    assert all(fault.remedy and fault.problem for fault in faults)


@pytest.mark.parametrize(
    ('old', 'new', 'problem'),
    [
        ('kind: rules', 'kind: rule', 'wrong kind'),
        ('kind: rules\n', '', "'kind' is missing"),
        ('cell: c', 'cell: [', 'not YAML'),
        ('cell: c\n', '', "'cell' is missing"),
        ('kind: inventory', '[]\n---\nkind: inventory', "'kind' is missing"),
        ('labels: [gpu]', 'host_class: x', 'together with capacity'),
        ('w-[09-10]', 'w-[1-2]-[3-4]', 'more than one range'),
        ('cores: 2,', 'cores: 1e30,', 'not a number of cores'),
        ('cores: 2,', f'cores: {10**30},', 'impossible quota'),
        ('kind: rules', 'kind: [rules]', "'kind' is missing"),
    ],
)
def test_a_single_mistake_is_reported_as_one_fault(
    tmp_path, old, new, problem
):
    # Faults that merely follow from the mistake would hide its cause.
    path = tmp_path / 'cell.yaml'
    path.write_text(ONE_FILE.replace('labels: gpu, ', '').replace(old, new))
    (fault,) = check_declaration(path)
    assert problem in fault.problem


def test_a_declaration_without_hosts_is_a_fault(tmp_path):
    # Applying it would remove every host of the cell.
    path = tmp_path / 'cell.yaml'
    path.write_text('kind: inventory\ncell: c\nfailure_domains: []\n')
    (fault,) = check_declaration(path)
    assert 'no failure domains' in fault.problem


@pytest.mark.parametrize('name', ['', 'none'])
def test_a_path_without_a_declaration_is_reported_as_a_fault(tmp_path, name):
    assert len(check_declaration(tmp_path / name)) == 1


@pytest.mark.parametrize(
    'url', ['http://[::1]:80/', 'https://[::1]:80', 'http://[0::1]:80']
)
def test_another_spelling_of_a_used_url_is_a_fault(tmp_path, url):
    # Two hosts with the same worker would offer its resources twice.
    path = tmp_path / 'cell.yaml'
    path.write_text(
        ONE_FILE.replace('127.0.0.[1-2]:80', '127.0.0.1:80')
        .replace("'w-[09-10]'", 'a, b')
        .replace("'http://[::1]:80'", f"'http://[::1]:80', '{url}'")
    )
    (fault,) = check_declaration(path)
    assert fault.path.endswith('urls[2]')


def test_a_configuration_without_files_gets_the_same_checks():
    host = Host('w', 'http://worker:80', 'r', 'd', Resources(1, 1, 0, 1, -1))
    found = check_configuration(Configuration(hosts=(host,)))
    assert [(issue.field, issue.value) for issue in found] == [
        ('', "''"),
        ('url', "'http://worker:80'"),
        ('rack', "'r'"),
        ('capacity', "'-1'"),
    ]
    assert str(found[3]).startswith("hosts[0].capacity: '-1' is an imposs")
