"""Operators' routes that read and change the configuration."""

from __future__ import annotations

from dataclasses import replace
from importlib import import_module
from random import uniform
from typing import Any
from typing import TYPE_CHECKING

from anyio import sleep
from msgspec import convert
from msgspec import to_builtins
from msgspec.json import decode

from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.inputs import DECODE_ERRORS
from sassafrasgate.http.bodies import describe_faults
from sassafrasgate.http.bodies import read_body
from sassafrasgate.http.json_responses import render_json
from sassafrasgate.http.problems import describe_refusal
from sassafrasgate.http.problems import describe_unknown
from sassafrasgate.http.problems import Problem
from sassafrasgate.http.routes import register_route
from sassafrasgate.http.routes import RouteGroup

if TYPE_CHECKING:
    from starlette.responses import Response

    from sassafrasgate.http.bodies import HttpRequest
    from sassafrasgate.http.routes import Context

# A process receives a newer version within seconds, so the delays between the
# attempts add up to about 5 s.
MAX_DRAIN_ATTEMPTS = 6
INITIAL_RETRY_DELAY_S = 0.16

_BOOLEANS = {'': True, 'true': True, '1': True, 'false': False, '0': False}


@register_route('GET', '/v1/configuration', RouteGroup.OPERATORS)
async def show_configuration(
    request: HttpRequest, context: Context
) -> Response:
    """Return the configuration in force, with its version as ETag."""
    configuration = context.gateway.get_configuration()
    return render_json(
        configuration, headers=_make_etag_header(configuration.version)
    )


@register_route('PUT', '/v1/configuration', RouteGroup.OPERATORS)
async def replace_configuration(
    request: HttpRequest, context: Context
) -> Response | Problem:
    """Publish a whole configuration, or show its changes in a dry run."""
    dry_run = _BOOLEANS.get(
        request.query_params.get('dry_run', 'false').lower()
    )
    if dry_run is None:
        return describe_faults(('dry_run: must be true or false',))
    expected = _read_if_match(request)
    if isinstance(expected, Problem):
        return expected
    limits = context.limits
    body = await read_body(
        request, limits.max_configuration_body_bytes, limits.body_timeout_s
    )
    if isinstance(body, Problem):
        return body
    configuration = parse_configuration(body, expected)
    if isinstance(configuration, Problem):
        return configuration
    current = context.gateway.get_configuration()
    if dry_run:
        return _render_difference(current, configuration, expected)
    accepted = await context.gateway.publish(configuration, expected)
    if isinstance(accepted, Configuration):
        return _render_accepted(accepted)
    return _describe_failed_publish(context, accepted)


@register_route('POST', '/v1/hosts/{name}/drain', RouteGroup.OPERATORS)
async def drain_host(
    request: HttpRequest, context: Context
) -> Response | Problem:
    """Drain a host, so that it gets no new tasks."""
    return await _set_drained(context, request.path_params['name'], True)


@register_route('POST', '/v1/hosts/{name}/restore', RouteGroup.OPERATORS)
async def restore_host(
    request: HttpRequest, context: Context
) -> Response | Problem:
    """End the drain of a host, so that it gets new tasks again."""
    return await _set_drained(context, request.path_params['name'], False)


def parse_configuration(
    body: bytes, expected_version: int
) -> Configuration | Problem:
    """Return the configuration in a JSON body, or a problem.

    Parameters
    ----------
    body : bytes
        A changed document from ``GET /v1/configuration``. ``version``
        may be absent; ``change`` is ignored.
    expected_version : int
        The version that the change is based on.
    """
    try:
        plain = decode(body)
        configuration = convert(plain, Configuration)
    except DECODE_ERRORS as error:
        return describe_faults((f'body: {error}',))
    faults = find_unknown_members(plain, to_builtins(configuration), '')
    if configuration.version not in (0, expected_version):
        faults += (
            f'version: is {configuration.version}, but If-Match is '
            f'{expected_version}',
        )
    if faults:
        return describe_faults(faults)
    return replace(configuration, version=expected_version, change='')


def find_unknown_members(given: Any, known: Any, path: str) -> tuple[str, ...]:
    """Return a fault for every member of ``given`` that is not in ``known``.

    Parameters
    ----------
    given : object
        Decoded JSON.
    known : object
        The same data after a conversion to data classes and back.
    path : str
        Path of both in the document, for the faults.
    """
    faults: tuple[str, ...] = ()
    if isinstance(given, dict) and isinstance(known, dict):
        for name, value in given.items():
            member_path = f'{path}.{name}' if path else name
            if name in known:
                faults += find_unknown_members(value, known[name], member_path)
            else:
                faults += (f'{member_path}: unknown member; remove it',)
    if isinstance(given, list):
        for index, (value, used) in enumerate(zip(given, known, strict=True)):
            faults += find_unknown_members(value, used, f'{path}[{index}]')
    return faults


async def _set_drained(
    context: Context, name: str, drained: bool
) -> Response | Problem:
    delay_s = INITIAL_RETRY_DELAY_S
    accepted: Any = None
    for _ in range(MAX_DRAIN_ATTEMPTS):
        current = context.gateway.get_configuration()
        changed = _change_drained(current, name, drained)
        if changed is None:
            return _describe_unknown_host(name)
        # A host that already has the requested state is published too,
        # because a newer version that this process has not received yet may
        # have changed it.
        accepted = await context.gateway.publish(changed, current.version)
        if isinstance(accepted, Configuration):
            return _render_accepted(accepted)
        if isinstance(accepted, NoReply) or (
            accepted.kind is not RefusalKind.CONFLICT
        ):
            break
        # Another version was published first. Wait until this process has
        # received it.
        await sleep(uniform(delay_s / 2, delay_s))
        delay_s *= 2
    return _describe_failed_publish(context, accepted)


def _change_drained(
    configuration: Configuration, name: str, drained: bool
) -> Configuration | None:
    if name not in {host.name for host in configuration.hosts}:
        return None
    hosts = tuple(
        replace(host, drained=drained) if host.name == name else host
        for host in configuration.hosts
    )
    return replace(configuration, hosts=hosts)


def _read_if_match(request: HttpRequest) -> int | Problem:
    header = request.headers.get('if-match', '')
    if not header:
        return Problem(
            'version-required',
            'the request has no If-Match header',
            'send the ETag of the configuration that the change is based on',
        )
    text = header.strip().removeprefix('"').removesuffix('"')
    if text.isascii() and text.isdecimal():
        return int(text)
    return describe_faults(
        (f'If-Match: must be one version in quotes, not {header!r:.80}',)
    )


def _render_difference(
    current: Configuration, changed: Configuration, expected: int
) -> Response | Problem:
    if expected != current.version:
        return _describe_version_changed(
            f'the change is based on version {expected}', current.version
        )
    # Imported on demand, because only dry runs of operators need the module.
    versions = import_module('sassafrasgate.configuration.versions')
    difference = versions.diff_configurations(current, changed)
    return render_json(
        {'version': current.version, 'dry_run': True, 'diff': difference},
        headers=_make_etag_header(current.version),
    )


def _render_accepted(configuration: Configuration) -> Response:
    return render_json(
        {'version': configuration.version, 'change': configuration.change},
        headers=_make_etag_header(configuration.version),
    )


def _make_etag_header(version: int) -> dict[str, str]:
    return {'ETag': f'"{version}"'}


def _describe_failed_publish(
    context: Context, failure: Refusal | NoReply
) -> Problem:
    if isinstance(failure, NoReply):
        return describe_unknown(failure.reason)
    if failure.kind is not RefusalKind.CONFLICT:
        return describe_refusal(failure)
    version = context.gateway.get_configuration().version
    return _describe_version_changed(failure.reason, version)


def _describe_version_changed(reason: str, version: int) -> Problem:
    return Problem(
        'version-changed',
        f'{reason}; version {version} is in force in this process',
        'GET /v1/configuration, apply the change to it and send it again',
        version=version,
    )


def _describe_unknown_host(name: str) -> Problem:
    return Problem(
        RefusalKind.NOT_FOUND,
        f'no host {name!r} is in the inventory',
        'GET /v1/configuration lists the names of the hosts',
    )
