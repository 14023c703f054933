"""Tests of an owner that acts on without the store beside its successor."""

from sassafrasgate.core.workflows import Workflow
from tests.dispatch.owner_faults import cut_from_others
from tests.dispatch.owner_faults import cut_pair
from tests.dispatch.owner_faults import replace_isolated
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import SimCluster

GRACE_MS = 15_000
CUT_MS = 12_000
TASK_MS = 20_000


def test_isolated_owner_leaves_runs_to_its_successor():
    # Guards against an owner that can't reach the store and counts a run on a
    # worker as lost whose lease its successor renews, and starts it again.
    cluster = SimCluster(seed=1, workers=2)
    cluster.grace_ms = GRACE_MS
    owner = cluster.start_owner()
    cluster.run(500)
    workflow = Workflow('payload', (make_step(1, TASK_MS),))
    cluster.submit('00000000000000aa', workflow)
    cluster.run(1_000)
    (task,) = cluster.rules.started
    (running_on,) = cluster.rules.present_on[task]
    (other,) = set(cluster.workers) - {running_on}
    cluster.cut_from_store.add(owner.process)
    cut_pair(cluster, owner.process, running_on, CUT_MS)
    cut_from_others(cluster, owner, other, CUT_MS)
    cluster.run(2_500)
    replace_isolated(cluster, cluster.random, owner)
    cluster.run(12_000)
    assert cluster.rules.present_on[task] == [running_on]
