"""Checks of single values, registered by name.

The field of a data class names its check with `Annotated`. Without one, the
check that is registered under the name of the field's type is used.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import isfinite
import re
from typing import Annotated
from typing import TYPE_CHECKING

from sassafrasgate.configuration.faults import suggest_name
from sassafrasgate.configuration.units import parse_cores
from sassafrasgate.configuration.units import parse_memory
from sassafrasgate.core.addresses import parse_address
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from ipaddress import IPv4Address
    from ipaddress import IPv6Address

URL_SCHEMES = ('http', 'https')
LOG_LEVELS = (
    'CRITICAL',
    'ERROR',
    'WARNING',
    'NOTICE',
    'INFO',
    'DEBUG',
    'TRACE',
)
# Names are used unescaped in store keys and URL paths.
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_BASE_URL = re.compile(
    r'(?P<scheme>[A-Za-z][A-Za-z0-9+.-]*)://(?P<address>[^/?#]+)/?'
)


@dataclass(frozen=True, slots=True)
class ValidationIssue:
    """The problem with an invalid value, and what to write instead."""

    problem: str
    remedy: str


Check = Callable[[object], object]
"""Returns the accepted value, possibly converted, or a `ValidationIssue`."""

CHECKS: Registry[str, Check] = Registry('check')

Name = Annotated[str, 'name']
ListenAddress = Annotated[str, 'listen-address']
Address = Annotated[str, 'address']
Url = Annotated[str, 'url']
LogLevel = Annotated[str, 'log-level']
Positive = Annotated[float, 'positive']
NotNegative = Annotated[float, 'not-negative']
Count = Annotated[int, 'count']
Cores = Annotated[int, 'cores']
Memory = Annotated[int, 'memory']
JobClassName = Annotated[str, 'job-class']


@CHECKS.register('str')
def check_text(value: object) -> object:
    """Accept text."""
    if isinstance(value, str):
        return value
    return ValidationIssue('is not text', 'put it in quotes')


@CHECKS.register('int')
def check_integer(value: object) -> object:
    """Accept a whole number."""
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    return ValidationIssue('is not a whole number', 'write digits only')


@CHECKS.register('float')
def check_number(value: object) -> object:
    """Accept a finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return ValidationIssue('is not a number', 'write a number such as 2.5')
    if not isfinite(value):
        return ValidationIssue('is not finite', 'write a number such as 2.5')
    return float(value)


@CHECKS.register('bool')
def check_boolean(value: object) -> object:
    """Accept true or false."""
    if isinstance(value, bool):
        return value
    return ValidationIssue('is neither true nor false', 'write true or false')


@CHECKS.register('name')
def check_name(value: object) -> object:
    """Accept a name that can be used in a store key and in a URL."""
    if not isinstance(value, str):
        return check_text(value)
    if _NAME.fullmatch(value):
        return value
    return ValidationIssue(
        'is not a name',
        'use 1 to 63 letters, digits, dots, dashes and underscores, '
        'beginning with a letter or digit',
    )


def _parse_address(
    value: object,
) -> IPv4Address | IPv6Address | ValidationIssue:
    issue = ValidationIssue(
        'is not an IP number with a port',
        "write for example '127.0.0.1:8080' or '[::1]:8080'",
    )
    address = parse_address(value) if isinstance(value, str) else None
    if address is None:
        return issue
    # Only the canonical form is accepted, so that addresses can be compared
    # as text.
    if str(address) != value:
        return ValidationIssue(
            'is not in its canonical form', f"write '{address.number}'"
        )
    if not address.has_valid_port:
        return ValidationIssue(
            'has no valid port', 'use a port from 1 to 65535'
        )
    return address.number


@CHECKS.register('listen-address')
def check_listen_address(value: object) -> object:
    """Accept an IP number and port to listen on."""
    address = _parse_address(value)
    return address if isinstance(address, ValidationIssue) else value


@CHECKS.register('address')
def check_address(value: object) -> object:
    """Accept an IP number and port that other processes can connect to."""
    address = _parse_address(value)
    if isinstance(address, ValidationIssue):
        return address
    if address.is_unspecified:
        return ValidationIssue(
            'is not an address that other processes can connect to',
            "write the entry host's own IP number",
        )
    return value


@CHECKS.register('url')
def check_url(value: object) -> object:
    """Accept a base URL with an IP number and a port."""
    if not isinstance(value, str):
        return check_text(value)
    match = _BASE_URL.fullmatch(value)
    remedy = "write for example 'http://127.0.0.1:8080'"
    if match is None:
        return ValidationIssue('is not a scheme with an address only', remedy)
    if match['scheme'] not in URL_SCHEMES:
        return ValidationIssue(
            f'has the scheme {match["scheme"]!r}',
            f'use {" or ".join(URL_SCHEMES)}',
        )
    accepted = check_address(match['address'])
    if isinstance(accepted, ValidationIssue):
        return ValidationIssue(accepted.problem, remedy)
    return value.rstrip('/')


@CHECKS.register('log-level')
def check_log_level(value: object) -> object:
    """Accept the name of one of logbook's levels."""
    if value in LOG_LEVELS:
        return value
    return ValidationIssue(
        'is not a log level', suggest_name(str(value).upper(), LOG_LEVELS)
    )


@CHECKS.register('job-class')
def check_job_class(value: object) -> object:
    """Accept the name of a job class."""
    known = tuple(str(job_class) for job_class in JobClass)
    if value in known:
        return value
    return ValidationIssue(
        'is not a job class', suggest_name(str(value), known)
    )


@CHECKS.register('positive')
def check_positive(value: object) -> object:
    """Accept a finite number above 0."""
    number = check_number(value)
    if isinstance(number, float) and number <= 0:
        return ValidationIssue('is not above 0', 'write a number above 0')
    return number


@CHECKS.register('not-negative')
def check_not_negative(value: object) -> object:
    """Accept a finite number of at least 0."""
    number = check_number(value)
    if isinstance(number, float) and number < 0:
        return ValidationIssue('is below 0', 'write 0 or more')
    return number


@CHECKS.register('count')
def check_count(value: object) -> object:
    """Accept a whole number of at least 0."""
    number = check_integer(value)
    if isinstance(number, int) and number < 0:
        return ValidationIssue('is below 0', 'write 0 or more')
    return number


@CHECKS.register('cores')
def check_cores(value: object) -> object:
    """Accept a number of cores; return millicores."""
    millicores = parse_cores(value)
    if millicores is None:
        return ValidationIssue(
            'is not a number of cores',
            'write a number of at most three decimals, such as 16 or 0.5',
        )
    if millicores < 0:
        return ValidationIssue('is below 0', 'write 0 or more')
    return millicores


@CHECKS.register('memory')
def check_memory(value: object) -> object:
    """Accept an amount of memory with its unit; return mebibytes."""
    memory_mb = parse_memory(value)
    if memory_mb is not None:
        return memory_mb
    return ValidationIssue(
        'is not an amount of memory',
        "write a whole number of mebibytes with its unit, such as '32GiB' "
        "or '512MiB'",
    )
