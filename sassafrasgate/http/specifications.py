"""Checks of the fields of a submitted job.

The checks take decoded fields and know nothing of HTTP. Every fault is
named, so that a caller can correct them all at once.
"""

from __future__ import annotations

from base64 import b64decode
import binascii
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from math import ceil
from math import isfinite
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafrasgate.core.resources import Resources

MAX_NAME_LENGTH = 200
MAX_TASKS = 10_000
MAX_PRIORITY = 100
MAX_SECONDS = 366 * 86_400.0
# Far above any host, and far below the 64 bits that MessagePack holds after
# a multiplication by the number of tasks.
MAX_AMOUNT = 10**9

_MULTIPLE_TASKS = frozenset({JobClass.SERVICE, JobClass.GANG})


_AMOUNTS = {
    'millicores': 1,
    'memory_mb': 1,
    'accelerators': 0,
    'slots': 1,
    'connections': 0,
}


@dataclass(frozen=True, slots=True)
class Fault:
    """A field that can't be accepted, and what it has to be."""

    field: str
    text: str

    def __str__(self) -> str:
        return f'{self.field}: {self.text}'


@dataclass(frozen=True, slots=True)
class Faults:
    """All faults of one submission; returned in place of a result."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class FieldCheck:
    """How one field of a submission becomes one field of a `JobSpec`.

    Parameters
    ----------
    target : str
        Field of the `JobSpec`.
    check : callable
        Takes the decoded value; returns the value for the spec, or what
        is wrong with it.
    """

    target: str
    check: Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class _Wrong:
    text: str


FIELDS: Registry[str, FieldCheck] = Registry('job field')


def register_field(
    name: str, target: str
) -> Callable[[Callable[[Any], Any]], Callable[[Any], Any]]:
    """Return a decorator that checks field ``name`` with its target."""

    def add_check(check: Callable[[Any], Any]) -> Callable[[Any], Any]:
        FIELDS.register(name)(FieldCheck(target, check))
        return check

    return add_check


def check_spec(
    fields: Mapping[str, Any],
    classes: frozenset[JobClass],
    default_class: JobClass,
) -> JobSpec | Faults:
    """Return the job that decoded fields describe, or all faults.

    Parameters
    ----------
    fields : mapping
        Names as in the caller API, values as decoded from JSON.
    classes : frozenset of JobClass
        Classes that the caller may ask for.
    default_class : JobClass
        The class when none is given.

    Examples
    --------
    >>> classes = frozenset({JobClass.BATCH})
    >>> fields = {'kee': '17', 'tasks': 0}
    >>> len(check_spec(fields, classes, JobClass.BATCH).faults)
    4
    """
    given = {'class': str(default_class), **fields}
    faults = [
        Fault(name, 'unknown field; remove it')
        for name in given
        if name not in FIELDS
    ]
    faults += [
        Fault(name, 'is missing; give a text')
        for name in ('team', 'key')
        if name not in given
    ]
    if 'payload' in given and 'payload_base64' in given:
        faults.append(Fault('payload_base64', 'give it or payload, not both'))
    values: dict[str, Any] = {}
    for name in FIELDS:
        if name not in given:
            continue
        check = FIELDS.find(name)
        value = check.check(given[name])
        if isinstance(value, Faults):
            faults += value.faults
        elif isinstance(value, _Wrong):
            faults.append(
                Fault(name, f'{value.text}, not {given[name]!r:.80}')
            )
        else:
            values[check.target] = value
    faults += _check_combinations(values, classes)
    if faults:
        return Faults(tuple(faults))
    return JobSpec(**values)


@register_field('team', 'team')
@register_field('key', 'key')
def _check_name(value: Any) -> str | _Wrong:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        return _Wrong(f'must be text of 1 to {MAX_NAME_LENGTH} characters')
    if not value.isprintable():
        return _Wrong('must have printable characters only')
    return value


@register_field('class', 'job_class')
def _check_class(value: Any) -> JobClass | _Wrong:
    names = tuple(str(name) for name in JobClass)
    if value not in names:
        return _Wrong(f'must be one of {", ".join(names)}')
    return JobClass(value)


@register_field('resources', 'demand')
def _check_resources(value: Any) -> Resources | _Wrong | Faults:
    if not isinstance(value, dict):
        return _Wrong('must be an object')
    faults = [
        Fault(f'resources.{name}', 'unknown field; remove it')
        for name in value
        if name not in _AMOUNTS and name != 'cores'
    ]
    amounts: dict[str, int] = {}
    for name, least in _AMOUNTS.items():
        if name not in value:
            continue
        amount = value[name]
        if _is_whole(amount) and least <= amount <= MAX_AMOUNT:
            amounts[name] = amount
            continue
        text = f'must be a whole number from {least} to {MAX_AMOUNT}'
        faults.append(
            Fault(f'resources.{name}', f'{text}, not {amount!r:.80}')
        )
    if 'cores' in value:
        faults += _add_cores(value, amounts)
    if faults:
        return Faults(tuple(faults))
    return replace(JobSpec('', '').demand, **amounts)


def _add_cores(
    value: Mapping[str, Any], amounts: dict[str, int]
) -> tuple[Fault, ...]:
    if 'millicores' in value:
        text = 'give it or millicores, not both'
        return (Fault('resources.cores', text),)
    cores = value['cores']
    most = MAX_AMOUNT // 1000
    if not _is_number(cores) or not 0 < cores <= most:
        text = f'must be a number above 0, at most {most}'
        return (Fault('resources.cores', f'{text}, not {cores!r:.80}'),)
    # A reservation is never below what the caller asked for. Rounding to
    # micro-cores first keeps 0.29 at 290 millicores despite binary floats.
    amounts['millicores'] = ceil(round(cores * 1_000_000) / 1000) or 1
    return ()


@register_field('tasks', 'tasks')
def _check_tasks(value: Any) -> int | _Wrong:
    if not _is_whole(value) or not 1 <= value <= MAX_TASKS:
        return _Wrong(f'must be a whole number from 1 to {MAX_TASKS}')
    return int(value)


@register_field('idempotent', 'idempotent')
def _check_idempotent(value: Any) -> bool | _Wrong:
    if not isinstance(value, bool):
        return _Wrong('must be true or false')
    return value


@register_field('priority', 'priority')
def _check_priority(value: Any) -> int | _Wrong:
    if not _is_whole(value) or abs(value) > MAX_PRIORITY:
        return _Wrong(
            f'must be a whole number from -{MAX_PRIORITY} to {MAX_PRIORITY}'
        )
    return int(value)


@register_field('deadline_s', 'deadline_s')
@register_field('run_time_s', 'run_time_s')
def _check_seconds(value: Any) -> float | _Wrong:
    if not _is_number(value) or not 0 <= value <= MAX_SECONDS:
        return _Wrong(f'must be a number from 0 to {MAX_SECONDS:.0f}')
    return float(value)


@register_field('failure_domains', 'failure_domains')
def _check_failure_domains(value: Any) -> tuple[str, ...] | _Wrong:
    if not isinstance(value, list) or not all(
        isinstance(name, str) and name for name in value
    ):
        return _Wrong('must be a list of names')
    # The order carries no meaning; a fixed one lets a repeat of the
    # request compare equal.
    return tuple(sorted(set(value)))


@register_field('payload', 'payload')
def _check_payload(value: Any) -> bytes | _Wrong:
    if not isinstance(value, str):
        return _Wrong('must be text; use payload_base64 for bytes')
    return value.encode()


@register_field('payload_base64', 'payload')
def _check_payload_base64(value: Any) -> bytes | _Wrong:
    try:
        return b64decode(value, validate=True)
    except (binascii.Error, TypeError, ValueError):
        return _Wrong('must be base64 (RFC 4648, section 4, with padding)')


def _check_combinations(
    values: Mapping[str, Any], classes: frozenset[JobClass]
) -> list[Fault]:
    faults = []
    job_class = values.get('job_class')
    if job_class and job_class not in classes:
        names = ', '.join(sorted(classes))
        text = f'must be one of {names} here, not {str(job_class)!r}'
        faults.append(Fault('class', text))
    multiple = values.get('tasks', 1) > 1
    if job_class and multiple and job_class not in _MULTIPLE_TASKS:
        text = f'must be 1 for class {str(job_class)!r}'
        faults.append(Fault('tasks', f'{text}; use service or gang'))
    if job_class is JobClass.QUICK and not values.get('idempotent', True):
        # Quick requests are not journaled, so a new owner can't tell
        # whether one has run.
        text = 'must be true for class quick; use urgent on POST /v1/jobs'
        faults.append(Fault('idempotent', text))
    return faults


def _is_whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: Any) -> bool:
    return _is_whole(value) or (isinstance(value, float) and isfinite(value))
