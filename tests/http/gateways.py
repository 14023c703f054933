"""A gateway that answers from a table and notes what it was asked."""

from dataclasses import replace

import anyio
from xxhash import xxh3_128_hexdigest

from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.cells import Shard
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.hosts import Host
from sassafrasgate.core.identifiers import find_home_shard
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.core.resources import Resources
from sassafrasgate.protocol.messages import JobView

HOST = Host('h1', 'http://127.0.0.1:1', 'r1', 'd1', Resources(1000, 512))
SHARDS = (Shard('s1', 'd1', ('r1',)), Shard('s2', 'd2', ('r2',)))


def make_finished(job_id, whole, output=b'', chunks=0):
    """Return the view of a job that finished with output ``whole``."""
    digest = xxh3_128_hexdigest(whole)
    state = JobState.FINISHED
    outcome = Outcome(state, '', output, chunks, len(whole), digest)
    return JobView(job_id, state, '', 1, ('h1',), outcome=outcome)


async def echo(message):
    """Answer a submission with its payload as the output."""
    payload = message.spec.payload
    return make_finished(message.job_id, payload, payload)


class FakeGateway:
    """Answers with what a test has set, or calls it."""

    def __init__(self):
        self.answer = None
        self.asked = []
        self.refusal = None
        self.current = Configuration(3, 'c3', 'cell', (HOST,), SHARDS)
        self.lost_races = 0
        self.chunks = ()
        self.status = ()
        self.arrived = anyio.Event()
        self.go_on = anyio.Event()
        self.ended = anyio.Event()

    async def hold(self, message):
        """Hold the answer until ``go_on`` is set."""
        self.arrived.set()
        try:
            await self.go_on.wait()
        finally:
            self.ended.set()
        return await echo(message)

    async def forward_to_shard(self, message, timeout_s):
        self.asked.append(message)
        answer = self.answer
        if isinstance(answer, list):
            return answer.pop(0)
        return await answer(message) if callable(answer) else answer

    def list_shards(self):
        return tuple(shard.name for shard in self.current.shards)

    def find_home(self, job_id):
        return find_home_shard(job_id, self.list_shards())

    def check_readiness(self):
        return self.refusal

    def check_operator_access(self):
        return self.refusal

    def get_configuration(self):
        return self.current

    async def publish(self, configuration, expected_version):
        if self.lost_races:
            self.lost_races -= 1
            lost = self.current.version + 1
            self.current = replace(self.current, version=lost)
        if expected_version != self.current.version:
            return Refusal(RefusalKind.CONFLICT, 'changed', 'read it again')
        self.current = replace(configuration, version=expected_version + 1)
        return self.current

    async def read_output(self, job_id, outcome):
        for chunk in self.chunks:
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk

    async def list_status(self):
        return self.status
