"""What the HTTP routes need from the rest of a front end."""

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

    async def ask_shard(self, message: Any, timeout_s: float) -> Any:
        """Send a message to the owner of a shard and return the answer.

        Parameters
        ----------
        message : object
            A registered message with a ``shard`` field; an empty shard
            stands for the home shard of the message's job.
        timeout_s : float
            How long to wait for the answer, in seconds.

        Returns
        -------
        object
            The answer message, which may be a ``Refused``; a `Refusal`
            when it is certain that this and every earlier try of the
            message did nothing; or `NoReply`.
        """
        ...

    def shards(self) -> tuple[str, ...]:
        """Return the names of all shards of the configuration."""
        ...

    def find_home(self, job_id: str) -> str:
        """Return the home shard of a job."""
        ...

    def is_ready(self) -> Refusal | None:
        """Return None when the process may serve, else the reason."""
        ...

    def may_operate(self) -> Refusal | None:
        """Return None when operators may be served, else the reason.

        Unlike `is_ready` it needs no configuration, so that the first one
        can be applied.
        """
        ...

    def configuration(self) -> Configuration:
        """Return the configuration in force in this process."""
        ...

    async def publish(
        self, configuration: Configuration, expected_version: int
    ) -> Configuration | Refusal | NoReply:
        """Put a new configuration in force by compare-and-swap.

        Parameters
        ----------
        configuration : Configuration
            The new content; the publisher sets ``version`` and ``change``.
        expected_version : int
            The version that the change is based on.

        Returns
        -------
        Configuration, Refusal or NoReply
            The accepted version; a refusal of kind ``conflict`` when
            another version is in force; or `NoReply` when the effect is
            not known.
        """
        ...

    def read_output(
        self, job_id: str, outcome: Outcome
    ) -> AsyncIterator[bytes]:
        """Return the chunks of an output in order.

        An async generator function implements this.

        Raises
        ------
        SassafrasgateError
            While iterating, when a chunk can't be read.
        """
        ...

    async def list_status(self) -> tuple[StatusReply, ...]:
        """Return the status of every scheduler that answers."""
        ...
