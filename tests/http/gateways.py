"""A gateway that returns preset replies and records its messages."""

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
    """Return the view of a job that finished with output ``whole``.

    Size and digest are those of ``whole``; ``output`` is what is stored in
    the outcome itself.
    """
    digest = xxh3_128_hexdigest(whole)
    state = JobState.FINISHED
    outcome = Outcome(state, '', output, chunks, len(whole), digest)
    return JobView(job_id, state, '', 1, ('h1',), outcome=outcome)


async def echo(message):
    """Reply to a submission with its payload as the output."""
    payload = message.spec.payload
    return make_finished(message.job_id, payload, payload)


class FakeGateway:
    """Returns the reply that a test has set.

    If ``reply`` is a list, each message takes its first item; if it is a
    function, it is called with the message. The first ``conflicts_left``
    calls of ``publish`` fail because another version was published first.
    """

    def __init__(self):
        self.reply = None
        self.messages = []
        self.refusal = None
        self.current = Configuration(3, 'c3', 'cell', (HOST,), SHARDS)
        self.conflicts_left = 0
        self.chunks = ()
        self.status = ()
        self.message_received = anyio.Event()
        self.may_reply = anyio.Event()
        self.request_ended = anyio.Event()

    async def wait_and_echo(self, message):
        """Wait until ``may_reply`` is set, then reply as `echo`."""
        self.message_received.set()
        try:
            await self.may_reply.wait()
        finally:
            self.request_ended.set()
        return await echo(message)

    async def forward_to_shard(self, message, timeout_s):
        self.messages.append(message)
        reply = self.reply
        if isinstance(reply, list):
            return reply.pop(0)
        return await reply(message) if callable(reply) else reply

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
        if self.conflicts_left:
            self.conflicts_left -= 1
            newer = self.current.version + 1
            self.current = replace(self.current, version=newer)
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
