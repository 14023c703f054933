"""The gateway through which an entry host's HTTP handlers reach the owner."""

from __future__ import annotations

from random import uniform
from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.tenants import NO_TENANT
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.workflows import CancelWorkflow
from sassafrasgate.protocol.workflows import CountPending
from sassafrasgate.protocol.workflows import QueryWorkflow
from sassafrasgate.protocol.workflows import SubmitWorkflow

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrasgate.core.routing import Queue
    from sassafrasgate.core.routing import RoutingTable
    from sassafrasgate.core.workflows import Workflow
    from sassafrasgate.daemons.entry import EntryTask

# An owner that has not replied within this time may be lost. The next attempt
# may reach its successor, and every request can be repeated.
ATTEMPT_TIMEOUT_S = 0.7
RETRY_DELAY_S = 0.05
# The pause doubles with each refusal, so that many callers don't keep busy a
# host that can't serve them yet.
MAX_RETRY_DELAY_S = 0.2
# The store confirms the routing table every 1.5 s, or it is listed again
# within 2.4 s.
MAX_DENIAL_AGE_MS = 3_000
# Refusals of a process that has not acted on the request.
RETRIED_REFUSALS = frozenset(
    {RefusalKind.NOT_OWNER, RefusalKind.NOT_READY, RefusalKind.STOPPING}
)


class EntryGateway:
    """Forwards the requests of callers to the owner of the shard.

    Parameters
    ----------
    name : str
        Name of this entry host.
    task : EntryTask
        Main task of this host, which holds the routing table and finds the
        owner.
    get_table_age_ms : callable
        Returns the time in ms since the store last confirmed the routing
        table.
    max_key_age_ms : int
        Age of the routing table from which on no key is accepted; 0 for no
        limit.
    """

    def __init__(
        self,
        name: str,
        task: EntryTask,
        get_table_age_ms: Callable[[], int],
        max_key_age_ms: int = 0,
    ) -> None:
        self._name = name
        self._task = task
        self._get_table_age_ms = get_table_age_ms
        self._max_key_age_ms = max_key_age_ms

    @property
    def version(self) -> int:
        """Version of the routing table in force."""
        return self._task.version

    def get_configuration(self) -> RoutingTable:
        """Return the routing table in force; responses carry its version."""
        return self._task.table

    def check_readiness(self) -> Refusal | None:
        """Return None if the process may serve requests, else a refusal."""
        if self._task.is_stopping:
            return Refusal(
                RefusalKind.STOPPING,
                f'entry host {self._name!r} is stopping',
                'use another entry host',
            )
        return self._task.check_readiness()

    def find_queue(self, host: str, path: str) -> Queue | Refusal:
        """Return the queue that serves a request's host and path."""
        if not self.version:
            return self._task.make_no_table_refusal()
        queue = self._task.table.find_queue(host, path)
        if queue is None:
            return Refusal(
                RefusalKind.NOT_FOUND,
                f'no queue serves {path!r} of host {host!r} in version '
                f'{self.version!r} of the routing table',
                'use the host and prefix of a queue',
            )
        return queue

    def identify_tenant(self, queue: Queue, key: str | None) -> str | Refusal:
        """Return the tenant that calls a queue, empty for none.

        A call with an unknown key is refused on public queues, too. A host
        that cannot confirm its routing table doesn't deny a key, which a
        newer table may have, but refuses the call for the time being.
        """
        table = self._task.table
        if table.tenants is None or (queue.public and key is None):
            return NO_TENANT
        age_ms = self._get_table_age_ms()
        if 0 < self._max_key_age_ms <= age_ms:
            return self._make_late_table_refusal(age_ms)
        tenant = None if key is None else table.find_tenant_by_key(key)
        if tenant is not None:
            return tenant.name
        if key is not None and age_ms > MAX_DENIAL_AGE_MS:
            return self._make_late_table_refusal(age_ms)
        return Refusal(
            RefusalKind.UNAUTHENTICATED,
            f'the call carries no key that version {table.version!r} of the '
            'routing table has',
            'send a key of the tenant in the Authorization header',
        )

    def _make_late_table_refusal(self, age_ms: int) -> Refusal:
        return Refusal(
            RefusalKind.NOT_READY,
            f'entry host {self._name!r} has not confirmed the keys of its '
            f'routing table for {age_ms} ms',
            'use another entry host',
        )

    async def submit(
        self,
        queue: Queue,
        tenant: str,
        job_id: str,
        workflow: Workflow,
        timeout_s: float,
    ) -> Any:
        """Submit a workflow to the owner."""
        reply = await self._request_from_owner(
            SubmitWorkflow(job_id, queue.name, self.version, workflow, tenant),
            timeout_s,
        )
        if isinstance(reply, Refusal) and reply.kind is RefusalKind.FAILED:
            # The attempt that has failed may have been recorded before.
            return NoReply(reply.reason)
        return reply

    async def query(self, tenant: str, job_id: str, timeout_s: float) -> Any:
        """Ask the owner for a workflow's state."""
        return await self._request_from_owner(
            QueryWorkflow(job_id, tenant), timeout_s
        )

    async def cancel(self, tenant: str, job_id: str, timeout_s: float) -> Any:
        """Ask the owner to cancel a workflow."""
        return await self._request_from_owner(
            CancelWorkflow(job_id, tenant), timeout_s
        )

    async def count(self, queue: Queue, timeout_s: float) -> Any:
        """Ask the owner how many workflows of a queue have not started."""
        return await self._request_from_owner(
            CountPending(queue.name), timeout_s
        )

    async def _request_from_owner(self, message: Any, timeout_s: float) -> Any:
        """Send a request to the owner until it replies or the time is over.

        Every request can be repeated safely.

        Returns
        -------
        object
            The reply; a `Refusal` if the request certainly had no effect;
            `NoReply` if its effect is unknown.
        """
        deadline = now_ms() + int(timeout_s * 1000)
        unknown: NoReply | None = None
        delay_s = RETRY_DELAY_S
        while True:
            remaining_s = (deadline - now_ms()) / 1000
            reply = await self._task.request_once(
                message, min(remaining_s, ATTEMPT_TIMEOUT_S)
            )
            if isinstance(reply, Refused):
                reply = Refusal(
                    reply.refusal,
                    reply.reason,
                    reply.remedy,
                    reply.retry_after_ms,
                )
            if isinstance(reply, NoReply):
                unknown = reply
            elif not isinstance(reply, Refusal):
                return reply
            elif reply.kind not in RETRIED_REFUSALS:
                # An earlier attempt without a reply may still take effect.
                return unknown or reply
            if now_ms() + delay_s * 1000 >= deadline:
                return unknown or reply
            cut_off = self._task.check_readiness()
            if cut_off is not None and unknown is None:
                return cut_off
            await self._task.refresh_owner()
            await anyio.sleep(uniform(delay_s / 2, delay_s))
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
