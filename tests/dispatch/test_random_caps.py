"""Tests of the caps of tenants under random faults, in virtual time.

Workers check together what the tasks of each tenant hold over all of them, as
operators see it. The caps change during a run.
"""

from dataclasses import replace
from random import Random

import pytest

from sassafrasgate.core.resources import Resources
from sassafrasgate.core.tenants import Tenant
from sassafrasgate.core.workflows import split_step_task_id
from sassafrasgate.dispatch import caps
from sassafrasgate.dispatch import recovery
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.dispatch.state import DispatchState
from tests.dispatch.simulation import Rules
from tests.dispatch.test_random_faults import check_outcome
from tests.dispatch.test_random_faults import FAULT_PERIOD_MS
from tests.dispatch.test_random_faults import FAULTS
from tests.dispatch.test_random_faults import make_workflow
from tests.dispatch.test_random_faults import RandomFaultCluster
from tests.dispatch.test_random_faults import simulate_faults
from tests.dispatch.violations import RuleViolation

TENANTS = ('a', 'b', 'c')
CAPS = (2_000, 4_000, 8_000, 16_000)
CAP_CHANGES = 6
# All caps end then, so that gangs wider than the last ones run too.
END_OF_CAPS_MS = 40_000
# A replaced owner may go on with an older table, and a start call may be
# carried out late.
TABLE_AGE_MS = 12_000
SEEDS = range(40)
GUARD_SEEDS = range(150)
# A new owner starts only new jobs while a worker is silent.
TAKEOVER_FAULTS = ('cut_worker', 'depose_owner', 'kill_owner')


class CapRules(Rules):
    """The rules of workers, and the caps of tenants over all of them."""

    def __init__(self, cluster):
        super().__init__()
        self.cluster = cluster

    def check_start(self, task, worker):
        super().check_start(task, worker)
        tenant = find_tenant(split_step_task_id(task)[0])
        limit = self.cluster.find_highest_cap(tenant)
        held = self._sum_running(tenant)
        if not limit:
            return
        # One task may bring the tenant over its cap.
        if held > limit:
            raise RuleViolation(
                f'{task} of tenant {tenant} starts on {worker} beside '
                f'{held} of {limit} millicores'
            )

    def _sum_running(self, tenant):
        return sum(
            self._find_demand(run.task).millicores
            for worker in self.cluster.workers.values()
            for run in worker.runs.values()
            if find_tenant(split_step_task_id(run.task)[0]) == tenant
        )

    def _find_demand(self, task):
        job_id, _, number, _ = split_step_task_id(task)
        return self.workflows[job_id].steps[number].demand


def find_tenant(job_id):
    """Return the tenant of a job of a random run."""
    return TENANTS[int(job_id, 16) % len(TENANTS)]


class TenantCluster(RandomFaultCluster):
    """A cluster with tenants, whose caps change at random."""

    def __init__(self, seed):
        super().__init__(seed)
        self.rules = CapRules(self)
        for number, worker in enumerate(self.workers.values()):
            worker.rules = self.rules
            self.rules.labels[worker.name] = ('a' if number % 2 else 'b', 'r1')
        # Caps with the virtual time in ms from which they hold.
        self.caps = []
        random = Random(seed)
        self._change_caps(random)
        for _ in range(CAP_CHANGES):
            self.call_later(
                random.randint(0, FAULT_PERIOD_MS),
                lambda: self._change_caps(random),
            )
        self.call_later(END_OF_CAPS_MS, self._end_caps)

    def _change_caps(self, random):
        self._set_caps({name: random.choice(CAPS) for name in TENANTS})

    def _end_caps(self):
        self._set_caps(dict.fromkeys(TENANTS, 0))

    def _set_caps(self, millicores):
        self.caps.append((self.now, millicores))
        tenants = tuple(
            Tenant(name, cap=Resources(cap))
            for name, cap in millicores.items()
        )
        self.table = replace(
            self.table, version=self.table.version + 1, tenants=tenants
        )
        if self.owner is not None:
            self.owner.feed(TableChanged(self.table))

    def find_highest_cap(self, tenant):
        """Return the highest cap that may be in force; 0 for no limit."""
        found = []
        for at, millicores in reversed(self.caps):
            found.append(millicores[tenant])
            if at < self.now - TABLE_AGE_MS:
                break
        return 0 if 0 in found else max(found)

    def _send_request(self, caller, request_kind, message):
        tenant = find_tenant(caller.job_id)
        super()._send_request(
            caller, request_kind, replace(message, tenant=tenant)
        )


def make_small_workflow(random):
    """Return a job whose gangs fit each cap with at most one task more."""
    workflow = make_workflow(random)
    steps = tuple(
        replace(step, tasks=min(step.tasks, 2)) if step.gang else step
        for step in workflow.steps
    )
    return replace(workflow, steps=steps)


@pytest.mark.parametrize('seed', SEEDS)
def test_tenants_keep_to_their_caps_whatever_fails(seed):
    # Guards against starts above a cap that changes, with owners killed or
    # replaced and workers cut off, and against jobs that wait for ever.
    cluster = simulate_faults(
        seed, 12, make_job=make_small_workflow, make_cluster=TenantCluster
    )
    check_outcome(cluster)


def ignore_unseen_runs(patch):
    """A new owner counts what may run on workers that have not replied."""
    patch.setattr(caps, 'compute_unseen_usage', lambda _: {})


def forget_ended_jobs(patch):
    """A snapshot tells what runs of ended jobs may still hold."""
    patch.setattr(recovery, 'compute_held', lambda _: {})


def forget_runs_without_reply(patch):
    """Runs count until they are certainly gone."""
    find_usage = DispatchState.get_tenant_usage

    def count_confirmed(state, tenant):
        usage = find_usage(state, tenant)
        for place in state.runs_by_tenant.get(tenant, ()):
            run = state.runs[place]
            if run.uncertain or run.stopping:
                usage = usage - run.charged
        return usage

    patch.setattr(DispatchState, 'get_tenant_usage', count_confirmed)


def ignore_caps(patch):
    """A start is decided only if the cap has room for it."""
    patch.setattr(caps, 'list_missing', lambda *_, **__: frozenset())


GUARDS = {
    ignore_caps: sorted(FAULTS),
    ignore_unseen_runs: TAKEOVER_FAULTS,
    forget_ended_jobs: ('cancel_job', *TAKEOVER_FAULTS),
    forget_runs_without_reply: ('cancel_job', 'cut_worker', 'lose_calls'),
}


@pytest.mark.parametrize('remove', GUARDS, ids=lambda remove: remove.__name__)
def test_random_runs_expose_a_removed_guard(remove, monkeypatch):
    # Guards against checks that could not fail.
    remove(monkeypatch)
    with pytest.raises(RuleViolation, match='millicores'):
        for seed in GUARD_SEEDS:
            simulate_faults(
                seed, 12, GUARDS[remove], make_cluster=TenantCluster
            )
