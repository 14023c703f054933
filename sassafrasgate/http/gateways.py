"""Interface through which the HTTP routes use the rest of a process."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafrasgate.core.cells import Configuration
    from sassafrasgate.core.errors import NoReply
    from sassafrasgate.core.errors import Refusal
    from sassafrasgate.core.jobs import Outcome
    from sassafrasgate.protocol.messages import StatusReply


class Gateway(Protocol):
    """Access to the shards, the configuration and the outputs."""

    async def forward_to_shard(self, message: Any, timeout_s: float) -> Any:
        """Send a message to the owner of a shard and return the reply.

        Parameters
        ----------
        message : object
            A registered message with a ``shard`` field; an empty shard
            stands for the home shard of the message's job.
        timeout_s : float
            How long to wait for the reply, in seconds.

        Returns
        -------
        object
            The reply message, which may be a ``Refused``; a `Refusal` if
            neither this nor any earlier attempt to send the message had an
            effect; or `NoReply` if the effect is unknown.
        """
        ...

    def list_shards(self) -> tuple[str, ...]:
        """Return the names of all shards of the configuration."""
        ...

    def find_home(self, job_id: str) -> str:
        """Return the home shard of a job."""
        ...

    def check_readiness(self) -> Refusal | None:
        """Return None if the process may serve requests, else a refusal."""
        ...

    def check_operator_access(self) -> Refusal | None:
        """Return None if operators may be served, else a refusal.

        Unlike `check_readiness`, it does not require a configuration, so
        that operators can apply the first one.
        """
        ...

    def get_configuration(self) -> Configuration:
        """Return the configuration in force in this process."""
        ...

    async def publish(
        self, configuration: Configuration, expected_version: int
    ) -> Configuration | Refusal | NoReply:
        """Put a new configuration in force by compare-and-swap.

        Parameters
        ----------
        configuration : Configuration
            The new content. The implementation sets ``version`` and
            ``change``.
        expected_version : int
            The version that the change is based on.

        Returns
        -------
        Configuration, Refusal or NoReply
            The accepted version; a refusal of kind ``conflict`` if another
            version is in force; or `NoReply` if the effect is unknown.
        """
        ...

    def read_output(
        self, job_id: str, outcome: Outcome
    ) -> AsyncIterator[bytes]:
        """Yield the chunks of an output in order.

        Implementations are async generator functions.

        Raises
        ------
        SassafrasgateError
            If a chunk cannot be read; raised during the iteration.
        """
        ...

    async def list_status(self) -> tuple[StatusReply, ...]:
        """Return the status of every scheduler that replies."""
        ...
