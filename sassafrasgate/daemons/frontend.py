"""The main task of a front end: routes requests to the owners of shards."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.configuration.checks import check_configuration
from sassafrasgate.configuration.publication import publish_configuration
from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.identifiers import find_home_shard
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.daemons.configurations import ConfigurationPublished
from sassafrasgate.daemons.configurations import ConfigurationStatus
from sassafrasgate.daemons.control import ControlChanged
from sassafrasgate.daemons.control import ControlListed
from sassafrasgate.daemons.hosts import make_output_key
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.logs import Decision
from sassafrasgate.observability.logs import log_decision
from sassafrasgate.observability.metrics import CONFIGURATION_VERSION
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.messages import Status
from sassafrasgate.protocol.messages import StatusReply
from sassafrasgate.protocol.messages import Submit
from sassafrasgate.protocol.retries import choose_backoff_s
from sassafrasgate.protocol.retries import RetryBudget

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.streams.memory import MemoryObjectReceiveStream
    from anyio.streams.memory import MemoryObjectSendStream
    from logbook import Logger

    from sassafrasgate.adapters.store import Store
    from sassafrasgate.core.jobs import Outcome
    from sassafrasgate.daemons.directory import Directory
    from sassafrasgate.observability.metrics import Metrics

STATUS_TIMEOUT_S = 2.0
MIN_ATTEMPT_TIMEOUT_S = 0.05
MAX_REPORTED_ISSUES = 20

# Refusals of a process that has not acted on the message.
RETRIED_REFUSALS = frozenset(
    {RefusalKind.NOT_OWNER, RefusalKind.NOT_READY, RefusalKind.STOPPING}
)


class FrontendTask:
    """Owns a front end's view of the cell and serves the HTTP handlers.

    Parameters
    ----------
    name : str
        Process name.
    directory : Directory
        Updated by this task alone.
    store : Store
        Store client for publishing configurations and reading outputs.
    inbox : MemoryObjectReceiveStream
        Delivers `ControlListed`, `ControlChanged` and
        `ConfigurationStatus`.
    configuration_sender : MemoryObjectSendStream
        The configuration task's inbox.
    logger : Logger
        Logger for retries.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        store: Store,
        inbox: MemoryObjectReceiveStream[Any],
        configuration_sender: MemoryObjectSendStream[Any],
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._directory = directory
        self._store = store
        self._inbox = inbox
        self._configuration_sender = configuration_sender
        self._logger = logger
        self._metrics = metrics
        self._configuration = Configuration()
        self._is_current = False
        self._stopping = False
        self._budget = RetryBudget()
        self._random = Random()

    async def run(self) -> None:
        """Follow control and configuration messages until cancelled."""
        async for message in self._inbox:
            if isinstance(message, ControlListed | ControlChanged):
                self._directory.apply_control_event(message)
            if isinstance(message, ConfigurationStatus):
                self._configuration = message.configuration
                self._is_current = message.is_current
                self._metrics.set_gauge(
                    CONFIGURATION_VERSION, self._configuration.version
                )

    def stop(self) -> None:
        """Report not ready from now on; open requests are still served."""
        self._stopping = True

    @property
    def version(self) -> int:
        """Configuration version in force."""
        return self._configuration.version

    def list_shards(self) -> tuple[str, ...]:
        """Return the names of all shards of the configuration."""
        return tuple(shard.name for shard in self._configuration.shards)

    def find_home(self, job_id: str) -> str:
        """Return the home shard of a job."""
        return find_home_shard(job_id, self.list_shards())

    def get_configuration(self) -> Configuration:
        """Return the configuration in force in this process."""
        return self._configuration

    def check_readiness(self) -> Refusal | None:
        """Return None if the process may serve requests, else a refusal."""
        if self._stopping:
            return Refusal(
                RefusalKind.STOPPING,
                f'front end {self._name!r} is stopping',
                'use another entry host',
            )
        if self._configuration.version and self._is_current:
            return None
        return self._refuse_unready()

    def _refuse_unready(self) -> Refusal:
        return Refusal(
            RefusalKind.NOT_READY,
            f'front end {self._name!r} holds configuration version '
            f'{self.version}, which is not known to be the newest',
            'use another entry host, or apply a first configuration',
        )

    def check_operator_access(self) -> Refusal | None:
        """Return None if operators may be served, else a refusal.

        Operators are served before the first configuration, so that they
        can apply it.
        """
        if self._stopping or not self._is_current:
            return self.check_readiness() or self._refuse_unready()
        return None

    async def forward_to_shard(self, message: Any, timeout_s: float) -> Any:
        """Send a message to its shard's owner; see `Gateway`."""
        if not message.shard:
            if not self.list_shards():
                return Refusal(
                    RefusalKind.NOT_READY,
                    'no configuration has been applied yet',
                    'apply a declaration first',
                )
            message = replace(message, shard=self.find_home(message.job_id))
        self._budget.record_first_attempt()
        deadline = now_ms() + int(timeout_s * 1000)
        return await self._request_until(message, deadline)

    async def _request_until(self, message: Any, deadline: int) -> Any:
        """Retry until a reply, the deadline, or an empty retry budget."""
        attempt = 0
        unknown: NoReply | None = None
        while True:
            attempt += 1
            remaining_s = (deadline - now_ms()) / 1000
            reply = await self._directory.send_request(
                message.shard,
                message,
                max(remaining_s, MIN_ATTEMPT_TIMEOUT_S),
                attempt,
            )
            if isinstance(reply, NoReply):
                unknown = reply
            if not self._may_retry(message, reply):
                # An earlier attempt without a reply may still take effect.
                refused = isinstance(reply, Refusal | Refused)
                return unknown if refused and unknown else reply
            backoff_s = choose_backoff_s(attempt, self._random)
            if now_ms() + backoff_s * 1000 >= deadline:
                return unknown or reply
            # A process that does not own the shard any more replies at once.
            # Only a missing reply is a sign of overload.
            if (
                isinstance(reply, NoReply)
                and not reply.owner_changed
                and not self._budget.may_retry()
            ):
                return reply
            self._log_retry(message, attempt, reply)
            await anyio.sleep(backoff_s)

    def _may_retry(self, message: Any, reply: Any) -> bool:
        if isinstance(reply, Refusal):
            return reply.kind is RefusalKind.NOT_READY
        if isinstance(reply, Refused):
            return reply.refusal in RETRIED_REFUSALS
        if not isinstance(reply, NoReply):
            return False
        # All messages but quick requests are idempotent by job id. A quick
        # request may still be running where the first attempt was sent.
        return not (
            isinstance(message, Submit)
            and message.spec.job_class is JobClass.QUICK
        )

    def _log_retry(self, message: Any, attempt: int, reply: Any) -> None:
        owner = self._directory.owners.get(message.shard)
        log_decision(
            self._logger,
            Decision(
                'reroute',
                getattr(message, 'job_id', ''),
                attempt,
                owner[0].name if owner else '',
                getattr(reply, 'reason', ''),
                shard=message.shard,
                configuration=self.version,
            ),
        )

    async def publish(
        self, configuration: Configuration, expected_version: int
    ) -> Configuration | Refusal | NoReply:
        """Publish a configuration by compare-and-swap on the version."""
        # The checks run in a thread: at the design size they take 0.2 s.
        issues = await anyio.to_thread.run_sync(
            check_configuration, configuration
        )
        if issues:
            return Refusal(
                RefusalKind.INVALID,
                '; '.join(
                    str(issue) for issue in issues[:MAX_REPORTED_ISSUES]
                ),
                'correct the declaration and check it with '
                '"sassafrasgate check"',
            )
        try:
            published = await publish_configuration(
                self._store, configuration, expected_version
            )
        except StoreError as error:
            return NoReply(str(error))
        if isinstance(published, Configuration):
            await self._configuration_sender.send(
                ConfigurationPublished(published)
            )
        return published

    async def read_output(
        self, job_id: str, outcome: Outcome
    ) -> AsyncIterator[bytes]:
        """Yield the chunks of an output in order.

        Raises
        ------
        StoreError
            If a chunk cannot be read.
        """
        for number in range(outcome.chunks):
            item = await self._store.get(make_output_key(job_id, number))
            if item is None or item.value is None:
                raise StoreError(
                    f'chunk {number} of the output of job {job_id!r} does not '
                    'exist; outputs are deleted after a day'
                )
            yield item.value

    async def list_status(self) -> tuple[StatusReply, ...]:
        """Return the status of every scheduler that replies."""
        for member in self._directory.list_schedulers():
            self._directory.find_link(member.link_address)
        replies = await self._directory.broadcast_request(
            Status(), STATUS_TIMEOUT_S
        )
        found = {
            reply.name: reply
            for reply in replies
            if isinstance(reply, StatusReply)
        }
        return tuple(found[name] for name in sorted(found))
