"""Kinds of journal records, in a registry, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import dataclass_transform
from typing import TYPE_CHECKING

from msgspec import convert
from msgspec import DecodeError
from msgspec import ValidationError
from msgspec.msgpack import decode
from msgspec.msgpack import Encoder

from sassafrasgate.core.errors import MessageError
from sassafrasgate.core.errors import UnknownNameError
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
    """Return a decorator that makes a frozen record class of ``kind``."""

    def add_record(cls: type[Any]) -> type[Any]:
        record = dataclass(frozen=True, slots=True)(cls)
        record.kind = kind
        return RECORDS.register(kind)(record)

    return add_record


@register_record('takeover')
class Takeover:
    """A new owner has taken the shard; its epoch fences earlier owners.

    Parameters
    ----------
    epoch : int
        One more than the previous owner's.
    owner : str
        Process name and incarnation.
    grace_ms : int
        How long past its lease the owner may act in a store outage.
    ttl_ms : int
        Length of its store lease.
    """

    epoch: int
    owner: str
    grace_ms: int = 0
    ttl_ms: int = 0


@register_record('accepted')
class JobAccepted:
    """A job is accepted and, with placements, may start on those hosts.

    Parameters
    ----------
    job_id : str
        Derived from team and key.
    spec : JobSpec
        What the caller asks for.
    attempt : int
        0 for a job that queues; otherwise the attempt that may start.
    placements : tuple of Placement
        The intended hosts of the attempt.
    accepted_at_ms : int
        Wall clock of the owner, for retention only.
    home : str
        Home shard for a transferred attempt, else empty.
    home_attempt : int
        The home shard's number for a transferred attempt.
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
    """Tasks of an attempt have certainly ended and others are wanted.

    Parameters
    ----------
    job_id, attempt
        The job and the attempt that ended.
    reason : str
        For explanations.
    tasks : tuple of str
        The tasks that ended without success.
    failed_hosts : tuple of str
        Hosts to avoid for the next attempt.
    counted : int
        Failures of the job that this adds: 1 when the task itself failed.
    may_have_run : bool
        Whether the attempt started, or may have.
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
    """A job has ended, or is unknown until its worker is heard again."""

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
    """A transferred attempt is refused for good, also if it comes late."""

    job_id: str
    home: str
    home_attempt: int


@register_record('share-lent')
class ShareLent:
    """All that this shard has lent to another one of a team's quota."""

    borrower: str
    team: str
    total: Resources


@register_record('forgotten')
class JobsForgotten:
    """Ended jobs past their retention are dropped."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """The value of one journal key.

    Parameters
    ----------
    writer : str
        Incarnation of the process that wrote it, so that a lost reply can
        be resolved by reading the key back.
    epoch : int
        Epoch of the writer.
    sequence : int
        Number of the key in the chain.
    records : tuple
        Registered records.
    """

    writer: str
    epoch: int
    sequence: int
    records: tuple[Any, ...]


_ENCODER = Encoder()


def encode_records(records: Iterable[Any]) -> bytes:
    """Return records as one MessagePack array of kind and fields."""
    return _ENCODER.encode([(record.kind, record) for record in records])


def decode_records(data: bytes) -> tuple[Any, ...]:
    """Return the records of one MessagePack array.

    Raises
    ------
    MessageError
        When the data is damaged or of an unknown kind.
    """
    try:
        return tuple(
            convert(fields, RECORDS.find(kind))
            for kind, fields in decode(data)
        )
    except (
        DecodeError,
        ValidationError,
        UnknownNameError,
        TypeError,
        ValueError,
    ) as error:
        raise MessageError(
            f'cannot decode {len(data)} bytes of journal records: {error}; '
            'run the release that wrote them, or a newer one'
        ) from error


def encode_entry(entry: JournalEntry) -> bytes:
    """Return the value of a journal key."""
    return _ENCODER.encode(
        (
            entry.writer,
            entry.epoch,
            entry.sequence,
            encode_records(entry.records),
        )
    )


def decode_entry(data: bytes) -> JournalEntry:
    """Return the entry of a journal key's value.

    Raises
    ------
    MessageError
        When the value is damaged.
    """
    try:
        writer, epoch, sequence, records = decode(data)
    except (DecodeError, TypeError, ValueError) as error:
        raise MessageError(
            f'cannot decode a journal entry of {len(data)} bytes: {error}; '
            'check that nothing else writes under journal/'
        ) from error
    return JournalEntry(writer, epoch, sequence, decode_records(records))
