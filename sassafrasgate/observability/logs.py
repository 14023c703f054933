"""Log lines in logfmt, written to standard error with logbook."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import fields
from functools import partial
from json import dumps
import logging
from os import write
import re
from select import poll
from select import POLLOUT
import sys
from time import monotonic
from typing import TYPE_CHECKING

from logbook import Logger
from logbook import lookup_level
from logbook import StreamHandler
from logbook.compat import RedirectLoggingHandler

from sassafrasgate.core.errors import SassafrasgateError

if TYPE_CHECKING:
    from typing import TextIO

    from logbook import LogRecord

MAX_LINES_PER_S = 2_000
PIPE_BYTES = 4096

_PLAIN = re.compile(r'[^\s"=\\\x00-\x1f\x7f]+')
_CONTROL = re.compile(r'[\x7f-\x9f\u2028\u2029\ud800-\udfff]')


class LogLevelError(SassafrasgateError):
    """A log level is not one that logbook knows."""

    def __init__(self, level: str) -> None:
        super().__init__(
            f'unknown log level {level!r}; use DEBUG, INFO, NOTICE, '
            'WARNING, ERROR or CRITICAL'
        )


@dataclass(frozen=True, slots=True)
class Decision:
    """One routing or placement decision.

    Parameters
    ----------
    kind : str
        What was decided, such as ``place``, ``queue``, ``refuse`` or
        ``route``.
    job : str
        Job id.
    attempt : int
        Number of the attempt, from 1; 0 when none was made.
    host : str
        Chosen host; several are separated by commas.
    reason : str
        Why no host was chosen, or why this one.
    candidates : int
        Number of hosts or processes that were considered.
    shard : str
        Shard that decided.
    epoch : int
        Epoch of the shard's owner.
    configuration : int
        Configuration version that the decision was based on.
    team, job_class : str
        As the job names them.
    duration_ms : float
        How long the decision took, in milliseconds.
    """

    kind: str
    job: str = ''
    attempt: int = 0
    host: str = ''
    reason: str = ''
    candidates: int = 0
    shard: str = ''
    epoch: int = 0
    configuration: int = 0
    team: str = ''
    job_class: str = ''
    duration_ms: float = 0.0


def quote_value(value: object) -> str:
    """Return a value as logfmt writes it.

    Text with spaces, quotes, equals signs, backslashes or control
    characters is put in quotes and escaped as in JSON, so that one decision
    never takes more than one line.

    Examples
    --------
    >>> quote_value('no room')
    '"no room"'
    """
    text = _render_plain(value)
    if _PLAIN.fullmatch(text) and not _CONTROL.search(text):
        return text
    return _CONTROL.sub(_escape_character, dumps(text, ensure_ascii=False))


def format_pairs(pairs: dict[str, object]) -> str:
    """Return ``key=value`` pairs separated by spaces.

    Examples
    --------
    >>> format_pairs({'kind': 'place', 'host': 'h 1'})
    'kind=place host="h 1"'
    """
    return ' '.join(
        f'{key}={quote_value(value)}' for key, value in pairs.items()
    )


def format_decision(decision: Decision) -> str:
    """Return a decision as logfmt pairs; empty fields are left out."""
    pairs = {
        field.name: getattr(decision, field.name) for field in fields(decision)
    }
    return format_pairs({key: value for key, value in pairs.items() if value})


def log_decision(logger: Logger, decision: Decision) -> None:
    """Write one line for a decision at level INFO.

    Parameters
    ----------
    logger : Logger
        Logger of the module that decided.
    decision : Decision
        What was decided. It is formatted only when the line is written.
    """
    logger.info(decision.kind, extra={_DECISION: decision})


class BoundedOutput:
    """A text stream that leaves lines out where a write would block.

    The number of lines left out is written with the next line that is not.

    Parameters
    ----------
    descriptor : int
        Open file descriptor.
    lines_per_s : int
        Most lines in a second.
    """

    def __init__(
        self, descriptor: int, lines_per_s: int = MAX_LINES_PER_S
    ) -> None:
        self._descriptor = descriptor
        self._poll = poll()
        self._poll.register(descriptor, POLLOUT)
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def write(self, text: str) -> int:
        """Write whole lines, or leave them out."""
        second = int(monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > self._lines_per_s or not self._poll.poll(0):
            self._left_out += 1
            return len(text)
        if self._left_out:
            text = f'{text.rstrip()} left_out={self._left_out}\n'
            self._left_out = 0
        # A pipe that polls as writable takes at least this much at once.
        write(self._descriptor, text.encode()[:PIPE_BYTES])
        return len(text)

    def flush(self) -> None:
        """Do nothing; every line is written at once."""


def open_standard_output() -> BoundedOutput:
    """Return standard output as a stream that never blocks."""
    return BoundedOutput(sys.stdout.fileno())


def log_event(
    logger: Logger, kind: str, event_fields: tuple[tuple[str, object], ...]
) -> None:
    """Write one line of named values at level INFO.

    Parameters
    ----------
    logger : Logger
        Logger of the module that decided.
    kind : str
        What was decided or has happened.
    event_fields : tuple of (str, object)
        Names and values; those with an empty text are left out.
    """
    logger.info(kind, extra={_EVENT_FIELDS: event_fields})


def configure_logging(
    level: str,
    process_name: str,
    stream: TextIO | BoundedOutput | None = None,
) -> StreamHandler:
    """Send the log lines of the whole process to one stream.

    Records of the standard library's `logging`, which hypercorn uses, are
    sent the same way.

    Parameters
    ----------
    level : str
        Lowest level that is written, as logbook names it.
    process_name : str
        Written in each line.
    stream : TextIO, optional
        Where to write; standard error by default.

    Returns
    -------
    StreamHandler
        The handler, already in force; ``pop_application`` removes it.

    Raises
    ------
    LogLevelError
        When ``level`` is unknown.
    """
    try:
        number = lookup_level(level.upper())
    except LookupError as error:
        raise LogLevelError(level) from error
    handler = StreamHandler(stream or sys.stderr, level=number)
    handler.formatter = partial(_format_record, process_name)
    handler.push_application()
    root = logging.getLogger()
    root.handlers = [RedirectLoggingHandler()]
    root.setLevel(logging.DEBUG if level.upper() == 'DEBUG' else logging.INFO)
    # httpx logs each call at INFO, which would bury the decisions.
    logging.getLogger('httpx').setLevel(
        logging.DEBUG if level.upper() == 'DEBUG' else logging.WARNING
    )
    return handler


_DECISION = 'decision'
_EVENT_FIELDS = 'event_fields'


def _format_record(process: str, record: LogRecord, handler: object) -> str:
    head: dict[str, object] = {
        'time': f'{record.time.isoformat(timespec="milliseconds")}Z',
        'level': record.level_name.lower(),
        'process': process,
        'logger': record.channel or '',
    }
    if _DECISION in record.extra:
        decision = format_decision(record.extra[_DECISION])
        return f'{format_pairs(head)} {decision}'
    if _EVENT_FIELDS in record.extra:
        head['kind'] = record.message
        head.update(
            (name, value)
            for name, value in record.extra[_EVENT_FIELDS]
            if value != ''
        )
        return format_pairs(head)
    head['message'] = record.message
    if record.formatted_exception:
        head['exception'] = record.formatted_exception
    return format_pairs(head)


def _render_plain(value: object) -> str:
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, float):
        return f'{value:.3f}'
    return str(value)


def _escape_character(match: re.Match[str]) -> str:
    return f'\\u{ord(match.group()):04x}'
