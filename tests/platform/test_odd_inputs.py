"""Feeds odd values to the decoders of all data that others have written.

A decoder either raises its typed error or returns a value that the journal
and the messages between processes can hold. Any other exception would end the
task that reads the data, and the same data ends its successor.

``HYPOTHESIS_PROFILE=fresh`` searches longer and with other examples.
"""

from json import dumps

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from msgspec import msgpack
import pytest

from sassafrasgate.adapters.connections import HttpResponse
from sassafrasgate.configuration.versions import ConfigurationError
from sassafrasgate.configuration.versions import decode_manifest
from sassafrasgate.core.errors import InputError
from sassafrasgate.core.errors import MessageError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.errors import WorkerUnavailableError
from sassafrasgate.core.items import Item
from sassafrasgate.daemons.directory import decode_member
from sassafrasgate.http.configurations import parse_configuration
from sassafrasgate.journal.records import decode_entry
from sassafrasgate.journal.records import decode_records
from sassafrasgate.platform.jobs import read_workflow
from sassafrasgate.platform.registrations import read_registration
from sassafrasgate.platform.routing import read_routing_table
from sassafrasgate.platform.store import read_changes
from sassafrasgate.platform.workers import read_report
from sassafrasgate.platform.workers import read_run_reply
from sassafrasgate.protocol.codec import decode_envelope

ERRORS = (
    InputError,
    MessageError,
    StoreError,
    WorkerUnavailableError,
    ConfigurationError,
)
ENTRY = {
    'service': 'pool',
    'address': '127.0.0.1:9',
    'zone': 'z1',
    'state': 'draining',
    'capacity': {'cpu': 8000, 'memMb': 16000, 'gpu': 1},
    'labels': ['a', 'r1'],
    'machine': 'm1',
    'born': 17,
    'remainingMs': 100,
}
ROUTE = {
    'name': 'q',
    'host': 'h.example',
    'prefix': '/q/',
    'timeoutMs': 3000,
    'targetLatencyMs': 300.5,
    'priority': 2,
    'service': 'pool',
    'maxAttempts': 3,
    'stretch': 2.5,
    'advice': {'decideMs': 20, 'eachMs': 0.5, 'validMs': 2000},
}
TENANT = {
    'name': 'bakers',
    'apiKeys': ['k1'],
    'priority': 1,
    'weight': 2.5,
    'cap': {'cpu': 4000, 'memMb': 8000, 'gpu': 0},
}
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 262144,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}
TABLE = {
    'version': 4,
    'routes': [{**ROUTE, 'public': False}],
    'services': [{'name': 'pool'}],
    'limits': LIMITS,
    'tenants': [TENANT],
}
REPORT = {
    'clockMs': 50,
    'born': 7,
    'running': [['j.0.0.0', 3, 'c1', 40, 100]],
    'ended': [[12, 'j.0.0.1', 1, 'lapsed', 'c2']],
}
STEP = {'count': 2, 'cpu': 500, 'memMb': 64, 'gpu': 1, 'estimateMs': 10}
JOB = {'spec': 'text', 'steps': [STEP, {**STEP, 'after': [0]}]}
SERIES = {**JOB, 'repeats': 3, 'startAtMs': 5, 'intervalMs': 1000}
MEMBER = {
    'name': 'e1',
    'incarnation': 'i',
    'role': 'entry',
    'link_address': '127.0.0.1:1',
    'failure_domain': 'z1',
    'weight': 1.0,
    'started_ms': 5,
}
EVENTS = {
    'events': [{'key': 'k', 'revision': 5, 'value': 'YQ=='}],
    'currentRev': 5,
}
NESTED = '[' * 1_500 + ']' * 1_500


def respond(content):
    return HttpResponse('POST /', 200, content, {})


def read_entry(content):
    return read_registration(Item('servers/i-1', content, 1))


def read_member(content):
    return decode_member(Item('control/members/e1', content, 1))


# Each decoder of JSON, with a valid document.
JSON_DECODERS = {
    'registration': (read_entry, ENTRY),
    'routing table': (read_routing_table, TABLE),
    'report': (lambda content: read_report(respond(content)), REPORT),
    'run reply': (lambda content: read_run_reply(respond(content)), REPORT),
    'job': (read_workflow, SERIES),
    'member': (read_member, MEMBER),
    'store events': (lambda content: read_changes(respond(content)), EVENTS),
    'configuration': (lambda content: parse_configuration(content, 1), {}),
}
MESSAGEPACK_DECODERS = {
    'message': decode_envelope,
    'records': decode_records,
    'journal entry': decode_entry,
    'manifest': decode_manifest,
}

odd_numbers = st.sampled_from(
    [0, -1, 1, 2**31, 2**53, 2**63, 2**64, 10**30, 10**400, -(10**30)]
) | st.floats(allow_nan=False, allow_infinity=False)
odd_texts = st.sampled_from(
    ['', ' ', 'x' * 70_000, 'a\nb', '\x00', '\u2028', 'é', '127.0.0.1:99999']
) | st.text(max_size=8)
odd_values = st.recursive(
    st.none() | st.booleans() | odd_numbers | odd_texts,
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=6,
)


def list_paths(value, path=()):
    """Yield the paths of all values in a document."""
    yield path
    members = ()
    if isinstance(value, dict):
        members = value.items()
    if isinstance(value, list):
        members = enumerate(value)
    for key, member in members:
        yield from list_paths(member, (*path, key))


def replace_at(value, path, odd):
    """Return a document in which the value at a path is an odd one."""
    if not path:
        return odd
    changed = dict(value) if isinstance(value, dict) else list(value)
    changed[path[0]] = replace_at(value[path[0]], path[1:], odd)
    return changed


def check(decode, content):
    """Check the result or the error of a decoder for some bytes."""
    try:
        found = decode(content)
    except ERRORS:
        return
    msgpack.encode(found)


@pytest.mark.parametrize('name', JSON_DECODERS)
@given(data=st.data())
def test_document_with_an_odd_value(name, data):
    # Guards against numbers that overflow, texts without a limit, and types
    # that get as far as the decisions.
    decode, document = JSON_DECODERS[name]
    path = data.draw(st.sampled_from(list(list_paths(document))))
    odd = data.draw(odd_values)
    check(decode, dumps(replace_at(document, path, odd)).encode())


@pytest.mark.parametrize('name', JSON_DECODERS)
@pytest.mark.parametrize(
    'text',
    [NESTED, '{"x":' * 1_500 + '1' + '}' * 1_500, '1e999', '9' * 5_000],
    ids=['arrays', 'objects', 'float', 'digits'],
)
def test_document_with_an_odd_unknown_field(name, text):
    # Guards against errors of the parser in fields that are not decoded.
    decode, document = JSON_DECODERS[name]
    field = f'"extra": {text}'
    rest = dumps(document)[1:]
    content = f'{{{field}, {rest}' if document else f'{{{field}}}'
    check(decode, content.encode())
    check(decode, text.encode())


@pytest.mark.parametrize('name', [*JSON_DECODERS, *MESSAGEPACK_DECODERS])
@given(content=st.binary(max_size=64))
@example(content=b'\xff\xfe')
@example(content=b'"\\ud800"')
@example(content=b'\x91' * 1_500 + b'\xc0')
@example(content=b'\x94\xa1w\x01\x02\xc4\x03\x91\xc0\xc0')
@example(content=b'\x94\x00\x00\x00\x00')
def test_odd_bytes(name, content):
    # Guards against errors of the parsers other than their own.
    decode = MESSAGEPACK_DECODERS.get(name)
    if decode is None:
        decode, _ = JSON_DECODERS[name]
    check(decode, content)


@pytest.mark.parametrize('name', MESSAGEPACK_DECODERS)
@given(value=odd_values)
def test_odd_message(name, value):
    # Guards against a body of another type than the kind of a message or a
    # record tells.
    try:
        content = msgpack.encode(value)
    except OverflowError:
        return
    frame = (1, 'heartbeat', 0, False, 1, 0, value)
    records = [('run-ended', value)]
    check(MESSAGEPACK_DECODERS[name], content)
    check(MESSAGEPACK_DECODERS[name], msgpack.encode(frame))
    check(MESSAGEPACK_DECODERS[name], msgpack.encode(records))


@pytest.mark.parametrize(
    'series',
    [
        {'repeats': 10**9},
        {'repeats': 10**9, 'intervalMs': 1000},
        {'repeats': 10**9, 'startAtMs': 2**45, 'intervalMs': 0},
        {'repeats': 10**9, 'startAtMs': 2**45, 'intervalMs': 1},
    ],
)
def test_series_with_too_many_tasks_at_once_is_refused(series):
    # Guards against an owner that opens tasks until its memory is full.
    steps = [{**STEP, 'count': 20}]
    refusal = read_workflow(dumps({**JOB, 'steps': steps, **series}).encode())

    assert getattr(refusal, 'kind', '') == 'invalid'


@pytest.mark.parametrize(
    ('name', 'path', 'odd'),
    [
        ('member', ('started_ms',), 10**30),
        ('store events', ('events', 0, 'value'), 'é'),
    ],
)
def test_values_that_a_longer_search_has_found(name, path, odd):
    # Guards against a number beyond 64 bits, and against text that is not
    # ASCII in place of Base64.
    decode, document = JSON_DECODERS[name]
    check(decode, dumps(replace_at(document, path, odd)).encode())
