"""Commands that show the configuration and the state of a cell."""

from __future__ import annotations

from typing import Any

from sassafrasgate.commands.registries import Output
from sassafrasgate.commands.registries import print_report
from sassafrasgate.commands.registries import register_command
from sassafrasgate.commands.registries import Url
from sassafrasgate.commands.results import Column
from sassafrasgate.commands.results import ExitCode
from sassafrasgate.commands.results import Report

PAIR_COLUMNS = (Column('item', 'item'), Column('value', 'value'))
HOST_COLUMNS = (
    Column('host', 'name'),
    Column('domain', 'failure_domain'),
    Column('rack', 'rack'),
    Column('status', 'status'),
    Column('cores', 'reserved.millicores capacity.millicores', 'cores'),
    Column('memory', 'reserved.memory_mb capacity.memory_mb', 'memory'),
    Column('slots', 'reserved.slots capacity.slots'),
    Column('tasks', 'tasks'),
    Column('shard', 'shard'),
    Column('epoch', 'epoch'),
)
SHARD_COLUMNS = (
    Column('shard', 'name'),
    Column('domain', 'failure_domain'),
    Column('owner', 'owner'),
    Column('epoch', 'epoch'),
    Column('racks', 'racks'),
)
JOB_COLUMNS = (
    Column('job', 'job_id'),
    Column('team', 'team'),
    Column('class', 'class'),
    Column('state', 'state'),
    Column('attempt', 'attempt'),
    Column('hosts', 'hosts'),
    Column('reason', 'reason'),
)


@register_command('show')
def show(*, url: Url = '', output: Output = 'table') -> ExitCode:
    """Show a summary of the configuration in force; all with --output json."""
    document = _fetch(url, 'configuration').document
    document = document if isinstance(document, dict) else {}
    pairs = {key: document.get(key) for key in ('cell', 'version', 'change')}
    hosts = document.get('hosts') or []
    pairs['hosts'] = len(hosts)
    pairs['drained'] = sum(bool(host.get('drained')) for host in hosts)
    for key in ('shards', 'teams', 'rules'):
        pairs[key] = len(document.get(key) or [])
    return print_report(_report_pairs(document, pairs), output)


@register_command('hosts')
def list_hosts(*, url: Url = '', output: Output = 'table') -> ExitCode:
    """List hosts with their reserved resources and their capacity."""
    return _list_rows(url, output, 'hosts', HOST_COLUMNS)


@register_command('shards')
def list_shards(*, url: Url = '', output: Output = 'table') -> ExitCode:
    """List shards with their owner and epoch."""
    return _list_rows(url, output, 'shards', SHARD_COLUMNS)


@register_command('jobs')
def list_jobs(
    *, state: str = '', url: Url = '', output: Output = 'table'
) -> ExitCode:
    """List jobs.

    Parameters
    ----------
    state
        List only the jobs in this state, for example queued.
    """
    params = {'state': check_state(state)} if state else {}
    return _list_rows(url, output, 'jobs', JOB_COLUMNS, params)


@register_command('explain')
def explain(job: str, *, url: Url = '', output: Output = 'table') -> ExitCode:
    """Show the decisions about a job, oldest first.

    Parameters
    ----------
    job
        Id of the job.
    """
    document = _fetch(url, 'jobs', job, 'explanation').document
    explanation = document if isinstance(document, dict) else {}
    lines = tuple(str(line) for line in explanation.get('lines') or ())
    heading = f'job {job} is {explanation.get("state", "unknown")}'
    return print_report(Report(document, notes=(heading, *lines)), output)


@register_command('status')
def show_status(*, url: Url = '', output: Output = 'table') -> ExitCode:
    """Show whether a front end is healthy and ready to serve requests."""
    from sassafrasgate.commands.clients import ApiRequest
    from sassafrasgate.commands.clients import send_request

    pairs: dict[str, Any] = {'front end': url}
    ready = True
    for name, path in (('healthy', '/healthz'), ('ready', '/readyz')):
        response = send_request(
            url, ApiRequest('GET', path, accepted_statuses=(503,))
        )
        ready = ready and response.status < 400
        pairs[name] = response.status < 400
        if isinstance(response.document, dict):
            pairs |= response.document
    print_report(_report_pairs(pairs, pairs), output)
    return ExitCode.OK if ready else ExitCode.REFUSED


def check_state(state: str) -> str:
    """Return ``state`` if it is the name of a job state.

    Raises
    ------
    CommandError
        When no job state has this name.
    """
    from sassafrasgate.commands.results import CommandError
    from sassafrasgate.configuration.faults import suggest_name
    from sassafrasgate.core.jobs import JobState

    known = tuple(str(member) for member in JobState)
    if state in known:
        return state
    raise CommandError(
        f'--state: {state!r} is not a job state; {suggest_name(state, known)}',
        ExitCode.BAD_INPUT,
    )


def _fetch(
    url: str, *segments: str, params: dict[str, str] | None = None
) -> Any:
    from sassafrasgate.commands.clients import ApiRequest
    from sassafrasgate.commands.clients import make_path
    from sassafrasgate.commands.clients import send_request

    request = ApiRequest('GET', make_path(*segments), params=params)
    return send_request(url, request)


def _list_rows(
    url: str,
    output: str,
    key: str,
    columns: tuple[Column, ...],
    params: dict[str, str] | None = None,
) -> ExitCode:
    response = _fetch(url, key, params=params)
    rows = response.list_rows(key)
    note = f'{len(rows)} {key}'
    return print_report(
        Report(response.document, columns, rows, (note,)), output
    )


def _report_pairs(document: Any, pairs: dict[str, Any]) -> Report:
    rows = tuple(
        {'item': item, 'value': value} for item, value in pairs.items()
    )
    return Report(document, PAIR_COLUMNS, rows)
