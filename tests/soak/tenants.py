"""Tenants of a soak: their keys, their cap, and the check of it."""

from __future__ import annotations

from json import loads
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.workflows import split_step_task_id

if TYPE_CHECKING:
    from tests.soak.histories import Run

TENANTS = ('tenant-0', 'tenant-1')
# The widest gang of a soak exceeds it by one task.
CAP_MILLICORES = 9000


def make_tenants() -> list[dict[str, Any]]:
    """Return the tenants of a configuration."""
    return [
        {
            'name': name,
            'apiKeys': [f'key-of-{name}'],
            'weight': 1.0,
            'cap': {'cpu': CAP_MILLICORES, 'memMb': 0, 'gpu': 0},
        }
        for name in TENANTS
    ]


def find_tenant(job_id: str) -> str:
    """Return the tenant that submits a job."""
    return TENANTS[sum(job_id.encode()) % len(TENANTS)]


def make_headers(job_id: str) -> dict[str, str]:
    """Return the headers with the key of a job's tenant."""
    return {'Authorization': f'Bearer key-of-{find_tenant(job_id)}'}


def find_starts_over_cap(runs: list[Run]) -> list[str]:
    """Return the starts that brought a tenant over its cap and one task.

    Parameters
    ----------
    runs : list of Run
        All runs in order of their starts.
    """
    found = []
    present: dict[str, list[Run]] = {name: [] for name in TENANTS}
    for run in runs:
        tenant = find_tenant(run.task.split('.', 1)[0])
        others = [
            other
            for other in present[tenant]
            if other.ended_ms > run.started_ms
        ]
        held = sum(map(_find_millicores, others))
        if held > CAP_MILLICORES:
            found.append(
                f'{run.task} of {tenant} started on {run.worker} beside '
                f'{held} of {CAP_MILLICORES} millicores'
            )
        present[tenant] = [*others, run]
    return found


def _find_millicores(run: Run) -> int:
    _, _, number, _ = split_step_task_id(run.task)
    return int(loads(run.spec)[number]['cpu']) if run.spec else 0
