"""Validation of the fields of a submitted job.

The checks take decoded fields and do not depend on HTTP. All faults are
reported together, so that a caller can correct them at once.
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
MAX_DURATION_S = 366 * 86_400.0
# Far above the resources of any host, and low enough that the product with the
# number of tasks fits into the 64-bit integers of MessagePack.
MAX_AMOUNT = 10**9

_MULTI_TASK_CLASSES = frozenset({JobClass.SERVICE, JobClass.GANG})

_MIN_AMOUNTS = {
    'millicores': 1,
    'memory_mb': 1,
    'accelerators': 0,
    'slots': 1,
    'connections': 0,
}


@dataclass(frozen=True, slots=True)
class Fault:
    """A field that is not valid, with the values that it may have."""

    field: str
    text: str

    def __str__(self) -> str:
        return f'{self.field}: {self.text}'


@dataclass(frozen=True, slots=True)
class Faults:
    """All faults of one submission, returned instead of a spec."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class FieldCheck:
    """Check of one field of a submission, which sets a field of the spec.

    Parameters
    ----------
    spec_field : str
        Field of the `JobSpec` that gets the checked value.
    check : callable
        Takes the decoded value; returns the value for the spec, or an
        `_InvalidValue` or `Faults`.
    """

    spec_field: str
    check: Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class _InvalidValue:
    text: str


FIELDS: Registry[str, FieldCheck] = Registry('job field')


def register_field(
    name: str, spec_field: str
) -> Callable[[Callable[[Any], Any]], Callable[[Any], Any]]:
    """Return a decorator that registers the check of a field."""

    def add_check(check: Callable[[Any], Any]) -> Callable[[Any], Any]:
        FIELDS.register(name)(FieldCheck(spec_field, check))
        return check

    return add_check


def parse_spec(
    fields: Mapping[str, Any],
    classes: frozenset[JobClass],
    default_class: JobClass,
) -> JobSpec | Faults:
    """Return the job spec that decoded fields describe, or all faults.

    Parameters
    ----------
    fields : mapping
        Decoded JSON values by field name of the caller API.
    classes : frozenset of JobClass
        Classes that this route accepts.
    default_class : JobClass
        Class of a submission without one.

    Examples
    --------
    >>> classes = frozenset({JobClass.BATCH})
    >>> fields = {'kee': '17', 'tasks': 0}
    >>> len(parse_spec(fields, classes, JobClass.BATCH).faults)
    4
    """
    given_fields = {'class': str(default_class), **fields}
    faults = [
        Fault(name, 'unknown field; remove it')
        for name in given_fields
        if name not in FIELDS
    ]
    faults += [
        Fault(name, 'is missing; it must be text')
        for name in ('team', 'key')
        if name not in given_fields
    ]
    if 'payload' in given_fields and 'payload_base64' in given_fields:
        faults.append(Fault('payload_base64', 'give it or payload, not both'))
    values: dict[str, Any] = {}
    for name in FIELDS:
        if name not in given_fields:
            continue
        check = FIELDS.find(name)
        value = check.check(given_fields[name])
        if isinstance(value, Faults):
            faults += value.faults
        elif isinstance(value, _InvalidValue):
            faults.append(
                Fault(name, f'{value.text}, not {given_fields[name]!r:.80}')
            )
        else:
            values[check.spec_field] = value
    faults += _check_combinations(values, classes)
    if faults:
        return Faults(tuple(faults))
    return JobSpec(**values)


@register_field('team', 'team')
@register_field('key', 'key')
def _check_name(value: Any) -> str | _InvalidValue:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        return _InvalidValue(
            f'must be text of 1 to {MAX_NAME_LENGTH} characters'
        )
    if not value.isprintable():
        return _InvalidValue('must have printable characters only')
    return value


@register_field('class', 'job_class')
def _check_class(value: Any) -> JobClass | _InvalidValue:
    names = tuple(str(name) for name in JobClass)
    if value not in names:
        return _InvalidValue(f'must be one of {", ".join(names)}')
    return JobClass(value)


@register_field('resources', 'demand')
def _check_resources(value: Any) -> Resources | _InvalidValue | Faults:
    if not isinstance(value, dict):
        return _InvalidValue('must be an object')
    faults = [
        Fault(f'resources.{name}', 'unknown field; remove it')
        for name in value
        if name not in _MIN_AMOUNTS and name != 'cores'
    ]
    amounts: dict[str, int] = {}
    for name, minimum in _MIN_AMOUNTS.items():
        if name not in value:
            continue
        amount = value[name]
        if _is_integer(amount) and minimum <= amount <= MAX_AMOUNT:
            amounts[name] = amount
            continue
        text = f'must be a whole number from {minimum} to {MAX_AMOUNT}'
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
    maximum = MAX_AMOUNT // 1000
    if not _is_number(cores) or not 0 < cores <= maximum:
        text = f'must be a number above 0, at most {maximum}'
        return (Fault('resources.cores', f'{text}, not {cores!r:.80}'),)
    # A reservation must not be below the caller's demand, so it is rounded up.
    # Rounding to micro-cores first keeps 0.29 at 290 millicores and 0.1 + 0.2
    # at 300 despite the inexact binary floats.
    amounts['millicores'] = ceil(round(cores * 1_000_000) / 1000) or 1
    return ()


@register_field('tasks', 'tasks')
def _check_tasks(value: Any) -> int | _InvalidValue:
    if not _is_integer(value) or not 1 <= value <= MAX_TASKS:
        return _InvalidValue(f'must be a whole number from 1 to {MAX_TASKS}')
    return int(value)


@register_field('idempotent', 'idempotent')
def _check_idempotent(value: Any) -> bool | _InvalidValue:
    if not isinstance(value, bool):
        return _InvalidValue('must be true or false')
    return value


@register_field('priority', 'priority')
def _check_priority(value: Any) -> int | _InvalidValue:
    if not _is_integer(value) or abs(value) > MAX_PRIORITY:
        return _InvalidValue(
            f'must be a whole number from -{MAX_PRIORITY} to {MAX_PRIORITY}'
        )
    return int(value)


@register_field('deadline_s', 'deadline_s')
@register_field('run_time_s', 'run_time_s')
def _check_seconds(value: Any) -> float | _InvalidValue:
    if not _is_number(value) or not 0 <= value <= MAX_DURATION_S:
        return _InvalidValue(
            f'must be a number from 0 to {MAX_DURATION_S:.0f}'
        )
    return float(value)


@register_field('failure_domains', 'failure_domains')
def _check_failure_domains(value: Any) -> tuple[str, ...] | _InvalidValue:
    if not isinstance(value, list) or not all(
        isinstance(name, str) and name for name in value
    ):
        return _InvalidValue('must be a list of names')
    # The order has no meaning; sorting makes a repeated request compare equal.
    return tuple(sorted(set(value)))


@register_field('payload', 'payload')
def _check_payload(value: Any) -> bytes | _InvalidValue:
    if not isinstance(value, str):
        return _InvalidValue('must be text; use payload_base64 for bytes')
    return value.encode()


@register_field('payload_base64', 'payload')
def _check_payload_base64(value: Any) -> bytes | _InvalidValue:
    try:
        return b64decode(value, validate=True)
    except (binascii.Error, TypeError, ValueError):
        return _InvalidValue(
            'must be base64 (RFC 4648, section 4, with padding)'
        )


def _check_combinations(
    values: Mapping[str, Any], classes: frozenset[JobClass]
) -> list[Fault]:
    faults = []
    job_class = values.get('job_class')
    if job_class and job_class not in classes:
        names = ', '.join(sorted(classes))
        text = f'must be one of {names} here, not {str(job_class)!r}'
        faults.append(Fault('class', text))
    has_several_tasks = values.get('tasks', 1) > 1
    if (
        job_class
        and has_several_tasks
        and job_class not in _MULTI_TASK_CLASSES
    ):
        text = f'must be 1 for class {str(job_class)!r}'
        faults.append(Fault('tasks', f'{text}; use service or gang'))
    if job_class is JobClass.QUICK and not values.get('idempotent', True):
        # Quick requests are not journaled, so a new owner cannot determine
        # whether one has run.
        text = 'must be true for class quick; use urgent on POST /v1/jobs'
        faults.append(Fault('idempotent', text))
    return faults


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: Any) -> bool:
    return _is_integer(value) or (isinstance(value, float) and isfinite(value))
