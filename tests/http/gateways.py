"""A gateway that answers from a table and notes what it was asked."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.cells import Shard
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.hosts import Host
from sassafrasgate.core.identifiers import find_home_shard
from sassafrasgate.core.resources import Resources

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafrasgate.core.jobs import Outcome
    from sassafrasgate.protocol.messages import StatusReply

HOST = Host('h1', 'http://127.0.0.1:1', 'r1', 'd1', Resources(1000, 512))
SHARDS = (Shard('s1', 'd1', ('r1',)), Shard('s2', 'd2', ('r2',)))


class FakeGateway:
    """Answers with what a test has set."""

    def __init__(self) -> None:
        self.answer: Any = None
        self.asked: list[Any] = []
        self.refusal: Refusal | None = None
        self.current = Configuration(3, 'c3', 'cell', (HOST,), SHARDS)
        self.lost_races = 0
        self.chunks: tuple[bytes | Exception, ...] = ()
        self.status: tuple[StatusReply, ...] = ()

    async def ask_shard(self, message: Any, timeout_s: float) -> Any:
        self.asked.append(message)
        if callable(self.answer):
            return await self.answer(message)
        return self.answer

    def shards(self) -> tuple[str, ...]:
        return tuple(shard.name for shard in self.current.shards)

    def find_home(self, job_id: str) -> str:
        return find_home_shard(job_id, self.shards())

    def is_ready(self) -> Refusal | None:
        return self.refusal

    def may_operate(self) -> Refusal | None:
        """Return the refusal that the test has set."""
        return self.is_ready()

    def configuration(self) -> Configuration:
        return self.current

    async def publish(
        self, configuration: Configuration, expected_version: int
    ) -> Configuration | Refusal:
        if self.lost_races:
            self.lost_races -= 1
            self.current = replace(
                self.current, version=self.current.version + 1
            )
        if expected_version != self.current.version:
            return Refusal(RefusalKind.CONFLICT, 'changed', 'read it again')
        version = expected_version + 1
        self.current = replace(configuration, version=version)
        return self.current

    async def read_output(
        self, job_id: str, outcome: Outcome
    ) -> AsyncIterator[bytes]:
        for chunk in self.chunks:
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk

    async def list_status(self) -> tuple[StatusReply, ...]:
        return self.status
