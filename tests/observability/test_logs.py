"""Tests that each log record is one line, whatever its values contain.

An unescaped value could start a line of its own or add a field.
"""

from io import StringIO
import logging

from logbook import Logger
import pytest

from sassafrasgate.observability.logs import configure_logging
from sassafrasgate.observability.logs import Decision
from sassafrasgate.observability.logs import format_decision
from sassafrasgate.observability.logs import log_decision
from sassafrasgate.observability.logs import LogLevelError
from sassafrasgate.observability.logs import quote_value


@pytest.fixture
def stream():
    root = logging.getLogger()
    before = (root.handlers, root.level)
    stream = StringIO()
    handler = configure_logging('info', 'front 1', stream)
    yield stream
    handler.pop_application()
    root.handlers, root.level = before


def test_decision_is_one_line_with_its_fields(stream):
    decision = Decision(
        'place', 'j1', 2, 'h1', 'best fit', 24, 's1', 7, 3, duration_ms=0.25
    )
    log_decision(Logger('shard'), decision)
    assert format_decision(Decision('queue', 'j1')) == 'kind=queue job=j1'
    line = stream.getvalue()
    assert line.startswith('time=')
    assert line.endswith(
        'level=info process="front 1" logger=shard kind=place job=j1 '
        'attempt=2 host=h1 reason="best fit" candidates=24 shard=s1 epoch=7 '
        'configuration=3 duration_ms=0.250\n'
    )


@pytest.mark.parametrize(
    ('value', 'quoted'),
    [
        ('plain-1.2', 'plain-1.2'),
        ('', '""'),
        ('a b', '"a b"'),
        ('a=b', '"a=b"'),
        ('say "no"\n', '"say \\"no\\"\\n"'),
        ('\u2028\x85', '"\\u2028\\u0085"'),
        ('\ud800', '"\\ud800"'),
        ('sueñario', 'sueñario'),
        (True, 'true'),
    ],
)
def test_values_can_not_start_a_line_or_add_a_field(value, quoted):
    assert quote_value(value) == quoted
    assert len(quoted.splitlines()) == 1


def test_records_of_logging_and_tracebacks_are_single_lines(stream):
    logging.getLogger('hypercorn.error').info('on %s', 'port 1')
    try:
        raise ValueError('bad\nvalue')
    except ValueError:
        Logger('shard').exception('it failed')
    lines = stream.getvalue().splitlines()
    assert len(lines) == 2
    assert lines[0].endswith('logger=hypercorn.error message="on port 1"')
    assert 'ValueError: bad\\nvalue' in lines[1]


def test_lines_below_the_level_are_not_written(stream):
    Logger('shard').debug('detail')
    logging.getLogger('hypercorn.error').debug('detail')
    assert stream.getvalue() == ''


def test_unknown_level_is_an_error_that_lists_the_levels():
    with pytest.raises(LogLevelError, match="'loud'.*INFO"):
        configure_logging('loud', 'front')
