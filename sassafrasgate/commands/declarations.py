"""Commands that check, compare and apply a declaration of a cell."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING

from sassafrasgate.commands.registries import Output
from sassafrasgate.commands.registries import print_report
from sassafrasgate.commands.registries import register_command
from sassafrasgate.commands.registries import Url
from sassafrasgate.commands.results import Column
from sassafrasgate.commands.results import CommandError
from sassafrasgate.commands.results import ExitCode
from sassafrasgate.commands.results import Report

if TYPE_CHECKING:
    from sassafrasgate.configuration.versions import ChangeLine
    from sassafrasgate.core.cells import Configuration

CHANGE_COLUMNS = (
    Column('change', 'action'),
    Column('group', 'group'),
    Column('name', 'name'),
    Column('details', 'details'),
)


@register_command('check')
def check(path: Path, *, output: Output = 'table') -> ExitCode:
    """Check a declaration and list all its faults.

    Parameters
    ----------
    path
        A directory of YAML files, or one file.
    """
    from sassafrasgate.configuration.declarations import check_declaration

    checked = check_declaration(path)
    if not isinstance(checked, tuple):
        note = (
            f'cell {checked.cell}: {len(checked.hosts)} hosts, '
            f'{len(checked.shards)} shards, {len(checked.teams)} teams, '
            f'{len(checked.rules)} rules; no faults'
        )
        return print_report(Report({'faults': []}, notes=(note,)), output)
    report = Report(
        {'faults': [asdict(fault) for fault in checked]},
        notes=(*map(str, checked), f'{len(checked)} faults'),
    )
    print_report(report, output)
    return ExitCode.BAD_INPUT


@register_command('diff')
def diff(path: Path, *, url: Url = '', output: Output = 'table') -> ExitCode:
    """Show the changes that applying a declaration would make.

    Parameters
    ----------
    path
        A directory of YAML files, or one file.
    """
    from sassafrasgate.configuration.versions import diff_configurations

    declared = _load_declaration(path)
    current = _fetch_configuration(url)
    changes = diff_configurations(current, declared)
    note = f'{len(changes)} changes to version {current.version}'
    report = _report_changes(current.version, changes, note)
    return print_report(report, output)


@register_command('apply')
def apply(
    path: Path,
    *,
    dry_run: bool = False,
    url: Url = '',
    output: Output = 'table',
) -> ExitCode:
    """Apply a declaration as the configuration in force.

    Parameters
    ----------
    path
        A directory of YAML files, or one file.
    dry_run
        Let the front end check the changes without applying them.
    """
    from msgspec import to_builtins

    from sassafrasgate.commands.clients import ApiRequest
    from sassafrasgate.commands.clients import make_path
    from sassafrasgate.commands.clients import send_request
    from sassafrasgate.configuration.versions import diff_configurations

    declared = _load_declaration(path)
    current = _fetch_configuration(url)
    if current.cell not in ('', declared.cell):
        raise CommandError(
            f'{path} declares the cell {declared.cell!r}, but {url} serves '
            f'{current.cell!r}; apply it to a front end of its own cell',
            ExitCode.BAD_INPUT,
        )
    changes = diff_configurations(current, declared)
    version = current.version
    if not changes:
        note = f'version {version} is in force already; nothing to change'
        return print_report(_report_changes(version, (), note), output)
    body = to_builtins(declared)
    del body['version'], body['change']
    response = send_request(
        url,
        ApiRequest(
            'PUT',
            make_path('configuration'),
            body,
            params={'dry_run': 'true'} if dry_run else None,
            headers={'If-Match': f'"{version}"'},
        ),
    )
    if dry_run:
        note = f'{len(changes)} changes to version {version}; not applied'
        return print_report(_report_changes(version, changes, note), output)
    if isinstance(response.document, dict):
        version = response.document.get('version', version + 1)
    note = f'{len(changes)} changes; version {version} is accepted'
    return print_report(_report_changes(version, changes, note), output)


def _load_declaration(path: Path) -> Configuration:
    from sassafrasgate.configuration.declarations import check_declaration

    checked = check_declaration(path)
    if isinstance(checked, tuple):
        lines = '\n'.join(f'  {fault}' for fault in checked)
        raise CommandError(
            f'{len(checked)} faults in the declaration:\n{lines}',
            ExitCode.BAD_INPUT,
        )
    return checked


def _fetch_configuration(url: str) -> Configuration:
    """Return the configuration in force; version 0 if none was applied yet."""
    from msgspec import convert
    from msgspec import ValidationError

    from sassafrasgate.commands.clients import ApiRequest
    from sassafrasgate.commands.clients import make_path
    from sassafrasgate.commands.clients import send_request
    from sassafrasgate.core.cells import Configuration

    request = ApiRequest(
        'GET', make_path('configuration'), accepted_statuses=(404,)
    )
    response = send_request(url, request)
    if response.status == 404:
        return Configuration()
    try:
        return convert(response.document, Configuration)
    except ValidationError as error:
        raise CommandError(
            f'the response of the front end is not a configuration: {error}; '
            'check that --url names a front end of the same release',
            ExitCode.REFUSED,
        ) from error


def _report_changes(
    version: int, changes: tuple[ChangeLine, ...], note: str
) -> Report:
    rows = tuple(asdict(change) for change in changes)
    document = {'version': version, 'changes': list(rows)}
    return Report(document, CHANGE_COLUMNS, rows, (note,))
