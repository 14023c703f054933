"""Messages between processes, registered by kind."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import dataclass_transform
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.core.registries import Registry
from sassafrasgate.core.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Callable

MESSAGES: Registry[str, type[Any]] = Registry('message kind')


@dataclass_transform(frozen_default=True)
def register_message(kind: str) -> Callable[[type[Any]], type[Any]]:
    """Return a decorator that registers a frozen message class."""

    def add_message(cls: type[Any]) -> type[Any]:
        message = dataclass(frozen=True, slots=True)(cls)
        message.kind = kind
        return MESSAGES.register(kind)(message)

    return add_message


@register_message('summary')
class Summary:
    """Free capacity of a shard, from which other shards choose transfers."""

    shard: str
    epoch: int
    free: Resources
    largest: Resources
    queued: int
    failure_domain: str


@register_message('heartbeat')
class Heartbeat:
    """Shows that the sender is alive; carries its version and summaries.

    Parameters
    ----------
    sender : str
        Name of the sending process.
    configuration : int
        Highest configuration version that the sender holds.
    summaries : tuple of Summary
        Free capacity of the sender's shards.
    """

    sender: str
    configuration: int = 0
    summaries: tuple[Summary, ...] = ()


@register_message('refused')
class Refused:
    """Reports that a request was refused; a `Refusal` as a message."""

    refusal: RefusalKind
    reason: str
    remedy: str
    retry_after_ms: int = 0


@register_message('outcome-unknown')
class OutcomeUnknown:
    """Reports that a request's shard has moved, and its effect is unknown.

    A link delivers it as a `NoReply`.
    """

    reason: str

    def to_no_reply(self) -> NoReply:
        """Return the result of the request for its sender."""
        return NoReply(self.reason, owner_changed=True)


@register_message('submit')
class Submit:
    """Asks a job's home shard to accept the job.

    Parameters
    ----------
    shard : str
        Name of the home shard.
    job_id : str
        Derived from team and key.
    spec : JobSpec
        The job as its caller submits it.
    wait_s : float
        How long the caller waits for a reply, in seconds.
    """

    shard: str
    job_id: str
    spec: JobSpec
    wait_s: float


@register_message('job-view')
class JobView:
    """The state of a job as its home shard knows it."""

    job_id: str
    state: JobState
    reason: str = ''
    attempt: int = 0
    hosts: tuple[str, ...] = ()
    shard: str = ''
    epoch: int = 0
    duplicate: bool = False
    outcome: Outcome | None = None
    team: str = ''
    job_class: str = ''


@register_message('query')
class Query:
    """Asks for a job's state; waits up to ``wait_s`` s for the job to end."""

    shard: str
    job_id: str
    wait_s: float = 0.0


@register_message('cancel')
class Cancel:
    """Asks the home shard to cancel a job."""

    shard: str
    job_id: str


@register_message('list-jobs')
class ListJobs:
    """Asks a shard for its jobs."""

    shard: str
    state: str = ''
    limit: int = 200


@register_message('job-list')
class JobList:
    """Lists jobs of a shard."""

    jobs: tuple[JobView, ...] = ()


@register_message('list-hosts')
class ListHosts:
    """Asks a shard for its hosts."""

    shard: str


@register_message('host-view')
class HostView:
    """The state of a host as the owner of its shard knows it."""

    name: str
    failure_domain: str
    rack: str
    status: str
    capacity: Resources
    reserved: Resources
    used: Resources
    tasks: int
    shard: str
    epoch: int


@register_message('host-list')
class HostList:
    """Lists hosts of a shard."""

    hosts: tuple[HostView, ...] = ()


@register_message('explain')
class Explain:
    """Asks for the decisions that were taken for a job."""

    shard: str
    job_id: str


@register_message('explanation')
class Explanation:
    """Lists the decisions taken for a job, oldest first."""

    job_id: str
    state: JobState
    lines: tuple[str, ...] = ()


@register_message('transfer')
class Transfer:
    """Asks another shard to run one attempt of a job."""

    shard: str
    home: str
    home_epoch: int
    job_id: str
    attempt: int
    spec: JobSpec


@register_message('transfer-reply')
class TransferReply:
    """Tells whether the other shard has durably accepted the attempt."""

    job_id: str
    attempt: int
    accepted: bool
    reason: str = ''


@register_message('transfer-ended')
class TransferEnded:
    """Reports the end of a transferred attempt to its home shard."""

    shard: str
    job_id: str
    attempt: int
    outcome: Outcome


@register_message('recall')
class Recall:
    """Asks another shard for the state of a transferred attempt.

    An attempt that the other shard does not know is refused permanently, so
    that a delayed transfer of it is not accepted later.

    Parameters
    ----------
    cancel : bool
        Whether to cancel the attempt if it has not ended.
    """

    shard: str
    home: str
    job_id: str
    attempt: int
    cancel: bool = False


@register_message('acknowledged')
class Acknowledged:
    """Confirms that the receiver has durably stored a report."""


@register_message('borrow-share')
class BorrowShare:
    """Asks another shard to lend part of its share of a team's quota.

    Parameters
    ----------
    missing : Resources
        Resources that the borrower lacks for its next job.
    """

    shard: str
    borrower: str
    team: str
    missing: Resources


@register_message('share-total')
class ShareTotal:
    """Total that a shard has ever lent to the borrower for a team."""

    team: str
    total: Resources


@register_message('fetch-configuration')
class FetchConfiguration:
    """Asks a peer for its configuration."""


@register_message('configuration-reply')
class ConfigurationReply:
    """A complete configuration in encoded form, with its version."""

    version: int
    encoded: bytes = b''


@register_message('status')
class Status:
    """Asks a scheduler which shards it owns, and for its state."""


@register_message('status-reply')
class StatusReply:
    """Shards that a scheduler owns, and its state."""

    name: str
    configuration: int
    shards: dict[str, int] = field(default_factory=dict)
    jobs: int = 0
    store_up: bool = True
