"""Log lines in logfmt, written with logbook."""

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
MAX_WRITE_BYTES = 4096

_UNQUOTED_TEXT = re.compile(r'[^\s"=\\\x00-\x1f\x7f]+')
_ESCAPED_CHARACTERS = re.compile(r'[\x7f-\x9f\u2028\u2029\ud800-\udfff]')


class LogLevelError(SassafrasgateError):
    """Raised for a log level that logbook does not know."""

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
        Number of the attempt, from 1; 0 when no attempt was made.
    host : str
        Chosen host; several hosts are separated by commas.
    reason : str
        Why the host was chosen, or why no host was chosen.
    candidates : int
        Number of hosts or processes that were considered.
    shard : str
        Shard that made the decision.
    epoch : int
        Epoch of the shard's owner.
    configuration : int
        Configuration version that the decision was based on.
    team, job_class : str
        Team and class of the job.
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
    """Format a value for logfmt.

    Text with spaces, quotes, equals signs, backslashes or control
    characters is quoted and escaped as in JSON, so that a value can neither
    start a new line nor add a field.

    Examples
    --------
    >>> quote_value('no room')
    '"no room"'
    """
    text = _format_value(value)
    if _UNQUOTED_TEXT.fullmatch(text) and not _ESCAPED_CHARACTERS.search(text):
        return text
    return _ESCAPED_CHARACTERS.sub(
        _escape_character, dumps(text, ensure_ascii=False)
    )


def format_pairs(pairs: dict[str, object]) -> str:
    """Format pairs as ``key=value``, separated by spaces.

    Examples
    --------
    >>> format_pairs({'kind': 'place', 'host': 'h 1'})
    'kind=place host="h 1"'
    """
    return ' '.join(
        f'{key}={quote_value(value)}' for key, value in pairs.items()
    )


def format_decision(decision: Decision) -> str:
    """Format a decision as logfmt pairs; empty fields are omitted."""
    pairs = {
        field.name: getattr(decision, field.name) for field in fields(decision)
    }
    return format_pairs({key: value for key, value in pairs.items() if value})


def log_decision(logger: Logger, decision: Decision) -> None:
    """Log a decision as one line at level INFO.

    Parameters
    ----------
    logger : Logger
        Logger of the module that made the decision.
    decision : Decision
        The decision. It is formatted only if the line is written.
    """
    logger.info(decision.kind, extra={_DECISION: decision})


class BoundedOutput:
    """A text stream that drops lines instead of blocking.

    A line is dropped when a write would block or the rate limit is reached.
    The next line that is written reports the number of dropped lines.

    Parameters
    ----------
    descriptor : int
        File descriptor that is open for writing.
    lines_per_s : int
        Maximum number of lines written in a second.
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
        self._dropped_lines = 0

    def write(self, text: str) -> int:
        """Write whole lines or drop them; return the length of ``text``."""
        second = int(monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > self._lines_per_s or not self._poll.poll(0):
            self._dropped_lines += 1
            return len(text)
        if self._dropped_lines:
            text = f'{text.rstrip()} left_out={self._dropped_lines}\n'
            self._dropped_lines = 0
        # A pipe that polls as writable accepts at least this many bytes
        # without blocking.
        write(self._descriptor, text.encode()[:MAX_WRITE_BYTES])
        return len(text)

    def flush(self) -> None:
        """Do nothing, since every line is written immediately."""


def open_standard_output() -> BoundedOutput:
    """Return standard output as a stream whose writes never block."""
    return BoundedOutput(sys.stdout.fileno())


def log_event(
    logger: Logger, kind: str, event_fields: tuple[tuple[str, object], ...]
) -> None:
    """Log an event with its fields as one line at level INFO.

    Parameters
    ----------
    logger : Logger
        Logger of the module in which the event happened.
    kind : str
        Kind of the event.
    event_fields : tuple of (str, object)
        Names and values of the fields; empty strings are omitted.
    """
    logger.info(kind, extra={_EVENT_FIELDS: event_fields})


def configure_logging(
    level: str,
    process_name: str,
    stream: TextIO | BoundedOutput | None = None,
) -> StreamHandler:
    """Send all log lines of the process to one stream.

    Records of the standard library's `logging`, which hypercorn uses, are
    sent to the same stream.

    Parameters
    ----------
    level : str
        Lowest level that is written, by its logbook name.
    process_name : str
        Name of the process, which is written in each line.
    stream : TextIO or BoundedOutput, optional
        Stream to write to; standard error by default.

    Returns
    -------
    StreamHandler
        The installed handler; ``pop_application`` removes it.

    Raises
    ------
    LogLevelError
        When logbook does not know the level.
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
    # httpx logs each call at INFO, which would make the lines of decisions
    # hard to find.
    logging.getLogger('httpx').setLevel(
        logging.DEBUG if level.upper() == 'DEBUG' else logging.WARNING
    )
    return handler


_DECISION = 'decision'
_EVENT_FIELDS = 'event_fields'


def _format_record(process: str, record: LogRecord, handler: object) -> str:
    pairs: dict[str, object] = {
        'time': f'{record.time.isoformat(timespec="milliseconds")}Z',
        'level': record.level_name.lower(),
        'process': process,
        'logger': record.channel or '',
    }
    if _DECISION in record.extra:
        decision = format_decision(record.extra[_DECISION])
        return f'{format_pairs(pairs)} {decision}'
    if _EVENT_FIELDS in record.extra:
        pairs['kind'] = record.message
        pairs.update(
            (name, value)
            for name, value in record.extra[_EVENT_FIELDS]
            if value != ''
        )
        return format_pairs(pairs)
    pairs['message'] = record.message
    if record.formatted_exception:
        pairs['exception'] = record.formatted_exception
    return format_pairs(pairs)


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, float):
        return f'{value:.3f}'
    return str(value)


def _escape_character(match: re.Match[str]) -> str:
    return f'\\u{ord(match.group()):04x}'
