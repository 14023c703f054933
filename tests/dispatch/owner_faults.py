"""Faults of owners: hand-overs, owners that live on, and cuts from workers.

An owner that can't reach the store acts on until its grace ends. Cuts between
one process and one worker let the worker be reachable for only one of the
owners.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.dispatch.leases import compute_worker_lease_expiry
from sassafrasgate.dispatch.recovery import describe_release
from sassafrasgate.dispatch.recovery import list_snapshot_records
from sassafrasgate.shards.events import StopRequested
from tests.dispatch.processes import PROCESSES
from tests.dispatch.simulation import HOLD_WAIT_MS
from tests.dispatch.simulation import TTL_MS

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from tests.dispatch.simulation import SimCluster
    from tests.dispatch.simulation import SimOwner

    Fault = Callable[[SimCluster, Random], None]

# Longer than any cut, so that an owner acts on through each of them.
GRACES_MS = (0, 2_000, 8_000, 15_000)
MIN_CUT_MS = 300
MAX_CUT_MS = 12_000
MAX_HAND_OVERS = 4
# Few workers remain in reach of both owners, since the first of them ends the
# earlier owner.
REACHED_BY_ALL_SHARE = 0.05
# Time between two checks whether all records of an owner are durable.
DRAIN_CHECK_MS = 20

OWNER_FAULTS: dict[str, Fault] = {}


def owner_fault(make: Fault) -> Fault:
    """Register a fault of owners that a random run may inject."""
    OWNER_FAULTS[make.__name__] = make
    return make


@owner_fault
def hand_over_repeatedly(cluster: SimCluster, random: Random) -> None:
    """Owners hand the shard over, each soon after its takeover."""
    begin_hand_overs(cluster, random, MAX_HAND_OVERS)


def begin_hand_overs(
    cluster: SimCluster, random: Random, longest: int
) -> None:
    """Begin up to some planned hand-overs in a row."""
    at = 0
    for _ in range(random.randint(1, longest)):
        cluster.call_later(at, lambda: begin_hand_over(cluster, random))
        at += random.randint(200, 3_000)


@owner_fault
def isolate_owner(cluster: SimCluster, random: Random) -> None:
    """The owner loses the store and is replaced, but acts on."""
    # The owner keeps some workers, or loses them all with the store.
    share = random.choice((0.0, 0.5, 0.5))
    duration_ms = random.choice((2_000, 7_000, MAX_CUT_MS, MAX_CUT_MS))
    begin_isolation(cluster, random, share, duration_ms, restarts=False)


@owner_fault
def isolate_owner_with_all_runs(cluster: SimCluster, random: Random) -> None:
    """The workers out of an isolated owner's reach restart meanwhile."""
    begin_isolation(cluster, random, 0.5, MAX_CUT_MS, restarts=True)


def begin_isolation(
    cluster: SimCluster,
    random: Random,
    share: float,
    duration_ms: int,
    restarts: bool,
) -> None:
    """Cut the owner off from the store and from some workers."""
    owner = cluster.owner
    if owner is None or cluster.cut_from_store:
        return
    cluster.cut_from_store.add(owner.process)
    for worker in sorted(cluster.workers):
        if random.random() < REACHED_BY_ALL_SHARE:
            continue
        if random.random() < share:
            cut_from_others(cluster, owner, worker, duration_ms)
        else:
            cut_pair(cluster, owner.process, worker, duration_ms)
            if restarts:
                cluster.restart_worker(worker)
    cluster.call_later(
        TTL_MS + random.randint(0, 1_500),
        lambda: replace_isolated(cluster, random, owner),
    )
    cluster.call_later(
        random.choice((2_000, 6_000, 15_000, 15_000)),
        lambda: reconnect_store(cluster, owner),
    )


@owner_fault
def cut_one_owner(cluster: SimCluster, random: Random) -> None:
    """A worker is out of reach for one process only."""
    worker = random.choice(sorted(cluster.workers))
    cut_pair(cluster, random.choice(PROCESSES), worker, choose_cut(random))


@owner_fault
def restart_worker_for_earlier_owner(
    cluster: SimCluster, random: Random
) -> None:
    """A worker restarts and is from then on in reach of one earlier owner."""
    earlier = list_earlier_owners(cluster)
    if not earlier:
        return
    owner = random.choice(earlier)
    worker = random.choice(sorted(cluster.workers))
    cluster.cut_pairs.discard((owner.process, worker))
    cut_from_others(cluster, owner, worker, choose_cut(random))
    cluster.restart_worker(worker)


@owner_fault
def kill_earlier_owner(cluster: SimCluster, random: Random) -> None:
    """The process of an owner that was replaced is killed, if one acts."""
    earlier = list_earlier_owners(cluster)
    if earlier:
        cluster.kill(random.choice(earlier))


@owner_fault
def change_grace(cluster: SimCluster, random: Random) -> None:
    """The next owners have another grace, as after a change of settings."""
    cluster.grace_ms = random.choice(GRACES_MS)


def choose_cut(random: Random) -> int:
    """Return the duration of a cut in ms."""
    return random.choice((MIN_CUT_MS, 2_000, 7_000, MAX_CUT_MS))


def list_earlier_owners(cluster: SimCluster) -> list[SimOwner]:
    """Return the owners that were replaced and act on."""
    acting = cluster.processes.list_acting()
    return [owner for owner in acting if owner is not cluster.owner]


def cut_from_others(
    cluster: SimCluster, owner: SimOwner, worker: str, duration_ms: int
) -> None:
    """Cut a worker off from all processes but that of one owner."""
    for process in PROCESSES:
        if process != owner.process:
            cut_pair(cluster, process, worker, duration_ms)


def cut_pair(
    cluster: SimCluster, process: str, worker: str, duration_ms: int
) -> None:
    """Cut a worker off from one process for a while."""
    pair = (process, worker)
    if pair in cluster.cut_pairs:
        return
    cluster.cut_pairs.add(pair)
    cluster.call_later(duration_ms, lambda: cluster.cut_pairs.discard(pair))


def replace_isolated(
    cluster: SimCluster, random: Random, owner: SimOwner
) -> None:
    """Let a successor replace an owner that still is isolated.

    The successor may hand over soon afterwards.
    """
    if cluster.writer is not owner or owner.reaches_store():
        return
    cluster.start_owner(kill=False)
    if random.random() < 0.5:
        cluster.call_later(
            random.randint(200, 3_000),
            lambda: begin_hand_overs(cluster, random, 2),
        )


def reconnect_store(cluster: SimCluster, owner: SimOwner) -> None:
    """End an isolation; the owner learns whether it was replaced."""
    cluster.cut_from_store.discard(owner.process)
    if cluster.writer is not owner:
        owner.dead = True


def begin_hand_over(cluster: SimCluster, random: Random) -> None:
    """Let the owner stop as planned; it ends once its records are durable."""
    owner = cluster.owner
    if owner is None or owner.dead or owner.stopping:
        return
    if cluster.writer is not owner or not owner.reaches_store():
        return
    owner.feed(StopRequested())
    owner.stopping = True
    owner.contacts.clear()
    cluster.call_later(0, lambda: complete_hand_over(cluster, random, owner))


def complete_hand_over(
    cluster: SimCluster, random: Random, owner: SimOwner
) -> None:
    """Write the record of a hand-over once all others are durable."""
    if owner.dead or cluster.writer is not owner:
        return
    if owner.writing or owner.unwritten_records or not owner.reaches_store():
        cluster.call_later(
            DRAIN_CHECK_MS, lambda: complete_hand_over(cluster, random, owner)
        )
        return
    released = describe_release(
        owner.state, compute_worker_lease_expiry(0, HOLD_WAIT_MS)
    )
    sends_state = random.random() < 0.5
    if sends_state:
        cluster.journal = list(list_snapshot_records(owner.state))
    cluster.journal.append(released)
    cluster.kill(owner)
    delay = 0 if sends_state else random.randint(0, 500)
    cluster.call_later(delay, lambda: replace_released(cluster, owner))


def replace_released(cluster: SimCluster, owner: SimOwner) -> None:
    """Let a successor take over, unless another one already has."""
    if cluster.writer is owner:
        cluster.start_owner()
