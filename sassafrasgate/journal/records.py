"""Journal records, registered by kind, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import dataclass_transform
from typing import TYPE_CHECKING

from msgspec import convert
from msgspec.msgpack import decode
from msgspec.msgpack import Encoder

from sassafrasgate.core.errors import MessageError
from sassafrasgate.core.errors import UnknownNameError
from sassafrasgate.core.inputs import DECODE_ERRORS
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.core.jobs import Placement
from sassafrasgate.core.registries import Registry
from sassafrasgate.core.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

RECORDS: Registry[str, type[Any]] = Registry('journal record kind')


@dataclass_transform(frozen_default=True)
def register_record(kind: str) -> Callable[[type[Any]], type[Any]]:
    """Return a decorator that registers a frozen record class."""

    def add_record(cls: type[Any]) -> type[Any]:
        record = dataclass(frozen=True, slots=True)(cls)
        record.kind = kind
        return RECORDS.register(kind)(record)

    return add_record


@register_record('takeover')
class Takeover:
    """A new owner has taken the shard; its epoch fences off previous owners.

    The owner repeats the record when its witnesses change.

    Parameters
    ----------
    epoch : int
        Epoch of the new owner, one more than the previous owner's.
    owner : str
        Process name and incarnation.
    grace_ms : int
        How long the owner may act after its lease has expired, during a
        store outage, in milliseconds.
    ttl_ms : int
        Time to live of its store lease, in milliseconds.
    witnesses : tuple of str
        Process names and incarnations of the hosts without whose agreement
        the owner does not act after its lease. Earlier releases neither write
        nor read it.
    """

    epoch: int
    owner: str
    grace_ms: int = 0
    ttl_ms: int = 0
    witnesses: tuple[str, ...] = ()


@register_record('accepted')
class JobAccepted:
    """A job is accepted; with placements, it may start on those hosts.

    Parameters
    ----------
    job_id : str
        Derived from team and key.
    spec : JobSpec
        The job as its caller submitted it.
    attempt : int
        Number of the attempt that may start; 0 for a job that is queued.
    placements : tuple of Placement
        Hosts chosen for the attempt.
    accepted_at_ms : int
        Time of acceptance in Unix milliseconds, used for retention only.
    home : str
        Home shard of a transferred attempt; empty for other jobs.
    home_attempt : int
        Number of the transferred attempt in its home shard.
    """

    job_id: str
    spec: JobSpec
    attempt: int = 0
    placements: tuple[Placement, ...] = ()
    accepted_at_ms: int = 0
    home: str = ''
    home_attempt: int = 0


@register_record('placed')
class JobPlaced:
    """A queued job's next attempt may start on these hosts."""

    job_id: str
    attempt: int
    placements: tuple[Placement, ...]


@register_record('requeued')
class JobRequeued:
    """Tasks of an attempt have certainly ended and need to be replaced.

    Parameters
    ----------
    job_id, attempt
        The job and the attempt that ended.
    reason : str
        Reason shown in explanations.
    tasks : tuple of str
        The tasks that ended without success.
    failed_hosts : tuple of str
        Hosts to avoid for the next attempt.
    counted : int
        Number of failures that count against the job: 1 when the task itself
        failed.
    may_have_run : bool
        Whether the attempt has started or may have started.
    hosts : tuple of str
        Host of each of ``tasks``.
    """

    job_id: str
    attempt: int
    reason: str
    tasks: tuple[str, ...] = ()
    failed_hosts: tuple[str, ...] = ()
    counted: int = 0
    may_have_run: bool = False
    hosts: tuple[str, ...] = ()


@register_record('ended')
class JobEnded:
    """A job has ended, or its state is unknown until its worker responds."""

    job_id: str
    attempt: int
    outcome: Outcome
    ended_at_ms: int = 0


@register_record('transferred')
class JobTransferred:
    """Another shard runs this attempt of the job."""

    job_id: str
    attempt: int
    shard: str


@register_record('tombstone')
class AttemptRefused:
    """A transferred attempt is refused, even if it arrives after this."""

    job_id: str
    home: str
    home_attempt: int


@register_record('share-lent')
class ShareLent:
    """Total that this shard has lent to another of a team's quota."""

    borrower: str
    team: str
    total: Resources


@register_record('forgotten')
class JobsForgotten:
    """Ended jobs are removed after their retention period."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """The value of one journal key.

    Parameters
    ----------
    writer : str
        Name and incarnation of the process that wrote the entry. After a
        lost reply, the process recognizes its entry when it reads the key
        back.
    epoch : int
        Epoch of the writer.
    sequence : int
        Number of the entry in the log.
    records : tuple
        Registered records.
    """

    writer: str
    epoch: int
    sequence: int
    records: tuple[Any, ...]


_ENCODER = Encoder()
# Writer, epoch, sequence and records of an encoded entry.
_EntryFields = tuple[str, int, int, bytes]


def encode_records(records: Iterable[Any]) -> bytes:
    """Return records as a MessagePack array of kinds and fields."""
    return _ENCODER.encode([(record.kind, record) for record in records])


def decode_records(data: bytes) -> tuple[Any, ...]:
    """Return the records that a MessagePack array encodes.

    Raises
    ------
    MessageError
        When the data is damaged or has a record of an unknown kind.
    """
    try:
        return tuple(
            convert(fields, RECORDS.find(kind))
            for kind, fields in decode(data)
        )
    except (*DECODE_ERRORS, UnknownNameError) as error:
        raise MessageError(
            f'cannot decode {len(data)} bytes of journal records: {error}; '
            'run the release that wrote them, or a newer one'
        ) from error


def encode_entry(entry: JournalEntry) -> bytes:
    """Return the value of the key that holds an entry."""
    return _ENCODER.encode(
        (
            entry.writer,
            entry.epoch,
            entry.sequence,
            encode_records(entry.records),
        )
    )


def decode_entry(data: bytes) -> JournalEntry:
    """Return the entry that the value of a journal key encodes.

    Raises
    ------
    MessageError
        When the value is damaged.
    """
    try:
        writer, epoch, sequence, records = convert(decode(data), _EntryFields)
    except DECODE_ERRORS as error:
        raise MessageError(
            f'cannot decode a journal entry of {len(data)} bytes: {error}; '
            'check that nothing else writes under journal/'
        ) from error
    return JournalEntry(writer, epoch, sequence, decode_records(records))
