"""Tests that invalid settings are rejected when they are loaded.

Otherwise a process would fail only when it first uses them.
"""

import pytest

from sassafrasgate.configuration.settings import load_settings
from sassafrasgate.configuration.settings import Peer
from sassafrasgate.configuration.settings import Settings
from sassafrasgate.configuration.settings import SettingsError

GOOD = """\
name: scheduler-1
failure_domain: waco
store_url: http://127.0.0.9:7000/
http_address: 127.0.0.1:8080
link_address: 127.0.0.1:9000
peers:
  - {name: scheduler-1, address: '127.0.0.1:9000'}
  - {name: scheduler-2, address: '127.0.0.2:9000'}
drain_s: 5
"""


def list_faults(tmp_path, text):
    path = tmp_path / 'settings.yaml'
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    return caught.value.faults


def test_the_process_itself_is_removed_from_its_peers(tmp_path):
    path = tmp_path / 'settings.yaml'
    path.write_text(GOOD)
    assert load_settings(path) == Settings(
        'scheduler-1',
        'waco',
        'http://127.0.0.9:7000',
        '127.0.0.1:8080',
        '127.0.0.1:9000',
        (Peer('scheduler-2', '127.0.0.2:9000'),),
        drain_s=5.0,
    )


def test_all_faults_are_reported_with_line_path_and_value(tmp_path):
    text = """\
name: no
failure_domain: 'a/b'
store_url: http://store.example:7000
http_adress: 127.0.0.1:8080
link_address: 0.0.0.0:9000
peers:
  - {name: s2, address: localhost:9000}
  - {name: s3, address: '127.0.0.3:9000'}
  - {name: s3, address: '127.0.0.3:70000'}
  - {name: s4, address: '127.0.0.3:9000'}
writes_per_s: 0
reads_per_s: .nan
drain_s: -1
drain_s: 2
log_level: info
peer: []
"""
    found = [
        (fault.line, fault.path, fault.value)
        for fault in list_faults(tmp_path, text)
    ]
    assert found == [
        (1, 'name', 'False'),
        (2, 'failure_domain', "'a/b'"),
        (3, 'store_url', "'http://store.example:7000'"),
        (4, '', "'http_adress'"),
        (5, 'link_address', "'0.0.0.0:9000'"),
        (7, 'peers[0].address', "'localhost:9000'"),
        (9, 'peers[2].address', "'127.0.0.3:70000'"),
        (9, 'peers[2].name', "'s3'"),
        (10, 'peers[3].address', "'127.0.0.3:9000'"),
        (11, 'writes_per_s', '0'),
        (12, 'reads_per_s', 'nan'),
        (13, 'drain_s', '-1'),
        (14, '', "'drain_s'"),
        (15, 'log_level', "'info'"),
        (16, '', "'peer'"),
    ]


def test_error_text_holds_position_value_and_remedy(tmp_path):
    text = GOOD.replace('drain_s', 'drian_s')
    (fault,) = list_faults(tmp_path, text)
    path = tmp_path / 'settings.yaml'
    assert str(fault) == (
        f"{path}:9: 'drian_s' is an unknown key; use 'drain_s'"
    )
    assert str(fault) in str(SettingsError((fault,)))


def test_missing_keys_and_shared_addresses_are_faults(tmp_path):
    text = """\
name: s1
http_address: 127.0.0.1:8080
link_address: 127.0.0.1:8080
store_url: http://127.0.0.9:7000
"""
    faults = list_faults(tmp_path, text)
    assert [(fault.path, fault.problem) for fault in faults] == [
        ('', "the key 'failure_domain' is missing"),
        ('link_address', 'is also http_address'),
    ]


@pytest.mark.parametrize(
    ('text', 'problem'),
    [
        ('a: [1', 'not YAML'),
        (b'a: \xff', 'not UTF-8'),
        ('', 'holds 0'),
        (GOOD + '---\n' + GOOD, 'holds 2'),
        ('- a', 'not a mapping'),
        ('<<: {name: a}', 'merge key'),
        ('? [a]\n: b', 'not text'),
        ('name: [a]', 'not a single value'),
        ('name: !!python/name:os.system ""', 'not a YAML value'),
        ('name: 2026-99-99', 'not a YAML value'),
        ('[' * 900 + ']' * 900, 'nested too deeply'),
        ('name: &a [*a]', 'not a single value'),
    ],
)
def test_unreadable_files_are_reported_as_faults(tmp_path, text, problem):
    faults = list_faults(tmp_path, text)
    assert any(problem in fault.problem for fault in faults)


def test_a_missing_file_is_reported_as_a_fault(tmp_path):
    with pytest.raises(SettingsError, match='no such file'):
        load_settings(tmp_path / 'none.yaml')
