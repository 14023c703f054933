"""Commands that submit and cancel jobs."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
import sys
from typing import TYPE_CHECKING

from sassafrasgate.commands.registries import Output
from sassafrasgate.commands.registries import print_report
from sassafrasgate.commands.registries import register_command
from sassafrasgate.commands.registries import Url
from sassafrasgate.commands.results import CommandError
from sassafrasgate.commands.results import ExitCode
from sassafrasgate.commands.results import Report
from sassafrasgate.configuration.values import Cores
from sassafrasgate.configuration.values import Count
from sassafrasgate.configuration.values import JobClassName
from sassafrasgate.configuration.values import Memory
from sassafrasgate.configuration.values import Name
from sassafrasgate.configuration.values import NotNegative

if TYPE_CHECKING:
    from sassafrasgate.core.jobs import JobSpec

# Time on the network. The front end responds to a quick request within the
# request's deadline.
RESPONSE_MARGIN_S = 5.0


@dataclass(frozen=True, slots=True)
class DemandEntry:
    """Resources that each task of a job needs."""

    cores: Cores = 1000
    memory: Memory = 512
    accelerators: Count = 0
    slots: Count = 1
    connections: Count = 1


@dataclass(frozen=True, slots=True)
class JobEntry:
    """Schema of a job file.

    The other fields are those of `sassafrasgate.core.jobs.JobSpec`.

    Parameters
    ----------
    payload : str
        Text that is passed to the worker.
    payload_file : str
        Path, relative to the job file, of a file whose content is passed to
        the worker instead.
    """

    team: Name
    key: str
    job_class: JobClassName = 'batch'
    demand: DemandEntry = DemandEntry()
    tasks: Count = 1
    idempotent: bool = True
    priority: int = 0
    deadline_s: NotNegative = 0.0
    run_time_s: NotNegative = 0.0
    failure_domains: tuple[Name, ...] = ()
    payload: str = ''
    payload_file: str = ''


@register_command('submit')
def submit(file: Path, *, url: Url = '', output: Output = 'table') -> ExitCode:
    """Submit the job that a YAML file describes.

    The command waits for the output of a quick request and writes it
    unchanged. Other jobs are accepted and run later.

    Parameters
    ----------
    file
        YAML file with team, key, job_class, demand and payload.
    """
    from sassafrasgate.commands.clients import ApiRequest
    from sassafrasgate.commands.clients import make_path
    from sassafrasgate.commands.clients import send_request
    from sassafrasgate.core.jobs import JobClass

    spec = load_job(file)
    body = make_job_body(spec)
    if spec.job_class == JobClass.QUICK:
        timeout_s = spec.deadline_s + RESPONSE_MARGIN_S
        path = make_path('requests')
        request = ApiRequest('POST', path, body, timeout_s=timeout_s)
        sys.stdout.buffer.write(send_request(url, request).content)
        sys.stdout.buffer.flush()
        return ExitCode.OK
    response = send_request(url, ApiRequest('POST', make_path('jobs'), body))
    document = response.document if isinstance(response.document, dict) else {}
    verb = 'accepted' if response.status == 202 else 'known already'
    note = f'job {document.get("job_id", document.get("id"))} is {verb}'
    return print_report(Report(response.document, notes=(note,)), output)


def make_job_body(spec: JobSpec) -> dict[str, object]:
    """Return a job in the form that the API for callers expects."""
    from msgspec import to_builtins

    # Fields whose names in the API differ from those in `JobSpec`.
    api_names = {
        'job_class': 'class',
        'demand': 'resources',
        'payload': 'payload_base64',
    }
    fields = to_builtins(spec)
    return {api_names.get(name, name): value for name, value in fields.items()}


@register_command('cancel')
def cancel(job: str, *, url: Url = '', output: Output = 'table') -> ExitCode:
    """Cancel a job.

    Parameters
    ----------
    job
        Id of the job.
    """
    from sassafrasgate.commands.clients import ApiRequest
    from sassafrasgate.commands.clients import make_path
    from sassafrasgate.commands.clients import send_request

    response = send_request(url, ApiRequest('DELETE', make_path('jobs', job)))
    document = response.document if isinstance(response.document, dict) else {}
    note = f'job {job} is {document.get("state", "being cancelled")}'
    return print_report(Report(response.document, notes=(note,)), output)


def load_job(path: Path) -> JobSpec:
    """Return the job that a YAML file describes.

    Raises
    ------
    CommandError
        When the file has faults. The message lists all of them.
    """
    from sassafrasgate.configuration.documents import read_document
    from sassafrasgate.configuration.documents import read_documents
    from sassafrasgate.configuration.faults import Fault

    documents, fault = read_documents(path)
    faults: tuple[Fault, ...] = (fault,) if fault is not None else ()
    if not faults and len(documents) != 1:
        problem = f'holds {len(documents)} YAML documents'
        remedy = 'describe one job in one document'
        faults = (Fault(str(path), 0, '', '', problem, remedy),)
    if not faults:
        parsed = read_document(documents[0], JobEntry)
        faults = parsed.faults
    if faults:
        lines = '\n'.join(f'  {fault}' for fault in faults)
        raise CommandError(
            f'{len(faults)} faults in the job file:\n{lines}',
            ExitCode.BAD_INPUT,
        )
    return _make_spec(parsed.value, path)


def _make_spec(entry: JobEntry, path: Path) -> JobSpec:
    from sassafrasgate.core.jobs import JobClass
    from sassafrasgate.core.jobs import JobSpec
    from sassafrasgate.core.resources import Resources

    demand = entry.demand
    return JobSpec(
        entry.team,
        entry.key,
        JobClass(entry.job_class),
        Resources(
            demand.cores,
            demand.memory,
            demand.accelerators,
            demand.slots,
            demand.connections,
        ),
        entry.tasks,
        entry.idempotent,
        entry.priority,
        entry.deadline_s,
        entry.run_time_s,
        entry.failure_domains,
        _read_payload(entry, path),
    )


def _read_payload(entry: JobEntry, path: Path) -> bytes:
    if not entry.payload_file:
        return entry.payload.encode()
    try:
        return path.parent.joinpath(entry.payload_file).read_bytes()
    except OSError as error:
        raise CommandError(
            f'payload_file: {entry.payload_file!r} cannot be read: '
            f'{error.strerror}; check the path and its permissions',
            ExitCode.BAD_INPUT,
        ) from error
