"""Identifiers of jobs, tasks and processes.

Ids of jobs and tasks are derived from their inputs, so that repeated
requests get the same id.
"""

from __future__ import annotations

from secrets import token_hex
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest
from xxhash import xxh3_128_hexdigest

if TYPE_CHECKING:
    from collections.abc import Iterable


def make_job_id(team: str, key: str) -> str:
    """Return the id of the job that a team submits with an idempotency key.

    The id is a digest of both, so that duplicates that arrive at different
    entry hosts get the same id without coordination.

    Examples
    --------
    >>> make_job_id('a', 'b') == make_job_id('a', 'b')
    True
    """
    return 'j' + xxh3_128_hexdigest(f'{len(team)}:{team}{key}'.encode())


def make_task_id(job_id: str, index: int, attempt: int) -> str:
    """Return the id of a task in one attempt of a job."""
    return f'{job_id}.{index}.{attempt}'


def split_task_id(task: str) -> tuple[str, int, int]:
    """Return the job id, index and attempt encoded in a task id."""
    job_id, index, attempt = task.rsplit('.', 2)
    return job_id, int(index), int(attempt)


def make_incarnation() -> str:
    """Return a random id for one run of a process."""
    return token_hex(8)


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Sort ``names`` by their rendezvous hash for ``key``, highest first."""
    return sorted(
        names,
        key=lambda name: (
            xxh3_64_intdigest(f'{key}\x00{name}'.encode()),
            name,
        ),
        reverse=True,
    )


def find_home_shard(job_id: str, shards: Iterable[str]) -> str:
    """Return the home shard, to which all duplicates of a job are routed.

    Raises
    ------
    ValueError
        When ``shards`` is empty.
    """
    return rank_names(job_id, shards)[0]
