"""Tests of the health of hosts, as the ends of their tasks show it."""

from sassafrasgate.core.tasks import TaskOutcome
from sassafrasgate.placement.quarantine import HealthState
from tests.shards.simulation import SimulatedShard

HOST = 'h0'
MAX_STEPS = 200


def test_quarantine_of_a_host_is_logged():
    # Guards against a host without new work for a reason that no line tells.
    shard = SimulatedShard(rates=(1.0, 1.0, 1.0, 1.0))
    for number in range(MAX_STEPS):
        shard.submit(f'job-{number}')
        shard.commit(20)
        while shard.starts:
            shard.deliver_start(0, False)
        for host in shard.workers:
            outcome = TaskOutcome.FINISHED
            if host == HOST:
                outcome = TaskOutcome.FAILED
            shard.end_task(host, 0, outcome)
            shard.sync(host)
        shard.advance(100)
        health = shard.owner.state.health.get_state(HOST, shard.now)
        if health is HealthState.QUARANTINED:
            break
    assert health is HealthState.QUARANTINED
    logged = [(line.kind, line.host) for line in shard.decisions]
    assert ('quarantined', HOST) in logged
