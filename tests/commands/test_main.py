"""Tests of the command line: exit codes, requests, outputs and imports."""

import base64
import json
from pathlib import Path
import subprocess
import sys

import pytest

from sassafrasgate.commands.jobs import load_job
from sassafrasgate.commands.main import run_command_line
from sassafrasgate.configuration.declarations import check_declaration
from tests.commands.frontends import run_frontend

EXAMPLES = Path(__file__).parents[2] / 'examples'
BRAZOS = str(EXAMPLES / 'brazos' / 'declaration')
SETTINGS = EXAMPLES / 'brazos' / 'settings' / 'scheduler-1.yaml'
CONFIGURATION = ('GET', '/v1/configuration')
CONFLICT = {
    'type': 'about:blank',
    'title': 'Conflict',
    'status': 412,
    'detail': 'version 9 is current',
    'remedy': 'compare and apply it again',
}
JOB = """\
team: ledger
key: order-17
job_class: {job_class}
demand: {{cores: 0.5, memory: 1GiB}}
payload_file: payload.bin
"""


def run(responses, *arguments):
    """Run a command against a front end; return its exit code and requests."""
    with run_frontend(responses) as (url, requests):
        return run_command_line([*arguments, '--url', url]), requests


def test_check_lists_every_fault_of_the_broken_example(capsys):
    path = str(EXAMPLES / 'broken' / 'declaration')
    assert run_command_line(['check', path]) == 2
    assert capsys.readouterr().out.endswith('\n38 faults\n')
    assert run_command_line(['check', path, '--output', 'json']) == 2
    faults = json.loads(capsys.readouterr().out)['faults']
    assert len(faults) == 38
    assert {'file', 'line', 'path', 'value', 'remedy'} < faults[0].keys()


def test_apply_sends_the_version_it_was_compared_with(capsys):
    # Without If-Match, a concurrent change would be overwritten unnoticed.
    responses = {
        CONFIGURATION: (200, {'version': 7, 'cell': 'brazos'}),
        ('PUT', '/v1/configuration'): (200, {'version': 8}),
    }
    code, requests = run(responses, 'apply', BRAZOS)
    _, path, headers, body = requests[-1]
    assert (code, path) == (0, '/v1/configuration')
    assert headers['If-Match'] == '"7"'
    assert set(body) == {'cell', 'hosts', 'shards', 'teams', 'rules'}
    assert len(body['hosts']) == 24
    assert 'version 8 is accepted' in capsys.readouterr().out
    code, requests = run(responses, 'apply', BRAZOS, '--output', 'xml')
    assert (code, requests) == (2, [])
    code, requests = run(responses, 'apply', BRAZOS, '--dry-run')
    assert requests[-1][1] == '/v1/configuration?dry_run=true'
    assert 'not applied' in capsys.readouterr().out


@pytest.mark.parametrize(
    ('current', 'put', 'code', 'message'),
    [
        ((404, {}), (412, CONFLICT), 3, 'compare and apply it again'),
        ((404, {}), (422, {'title': 'Bad', 'remedy': 'fix'}), 1, '; fix'),
        ((404, {}), (500, b'oops'), 1, '500'),
        ((404, {}), None, 4, 'may have taken effect'),
        ((200, {'cell': 'other'}), None, 2, 'its own cell'),
        ((200, [1]), None, 1, 'is not a configuration'),
        (None, None, 4, 'try another front end'),
    ],
)
def test_apply_reports_each_kind_of_failure(
    capsys, current, put, code, message
):
    responses = {CONFIGURATION: current, ('PUT', '/v1/configuration'): put}
    assert run(responses, 'apply', BRAZOS)[0] == code
    assert message in capsys.readouterr().err


def test_apply_of_the_configuration_in_force_sends_nothing(capsys):
    responses = {CONFIGURATION: (404, {}), ('PUT', '/v1/configuration'): None}
    _, requests = run(responses, 'apply', BRAZOS)
    body = {**requests[-1][3], 'version': 3}
    responses = {CONFIGURATION: (200, body)}
    code, requests = run(responses, 'apply', BRAZOS)
    assert (code, len(requests)) == (0, 1)
    assert 'nothing to change' in capsys.readouterr().out
    assert run(responses, 'diff', BRAZOS)[0] == 0
    assert '0 changes to version 3' in capsys.readouterr().out


def test_front_end_that_does_not_listen_is_reported_as_unreachable(capsys):
    with run_frontend({}) as (url, _):
        pass
    assert run_command_line(['hosts', '--url', url]) == 4
    assert 'nothing was sent' in capsys.readouterr().err


@pytest.mark.parametrize(
    'arguments',
    [
        ['unknown'],
        ['check'],
        ['check', 'none'],
        ['apply', 'none', '--url', 'http://127.0.0.1:1'],
        ['hosts', '--url', 'http://front.example:80'],
        ['jobs', '--state', 'runing', '--url', 'http://127.0.0.1:1'],
        ['check', BRAZOS, '--output', 'xml'],
        ['submit', 'none', '--url', 'http://127.0.0.1:1'],
        ['serve', 'backend', '--settings', str(SETTINGS)],
        ['serve', 'scheduler', '--settings', 'none'],
    ],
)
def test_bad_usage_and_bad_input_return_exit_code_2(arguments):
    assert run_command_line(arguments) == 2


def test_url_may_come_from_the_environment(monkeypatch, capsys):
    with run_frontend({('GET', '/v1/shards'): (200, [])}) as (url, _):
        monkeypatch.setenv('SASSAFRASGATE_URL', url)
        assert run_command_line(['shards']) == 0
    monkeypatch.delenv('SASSAFRASGATE_URL')
    assert run_command_line(['shards']) == 2
    assert 'SASSAFRASGATE_URL' in capsys.readouterr().err


def test_hosts_are_printed_as_a_table_and_as_json(capsys):
    row = {
        'name': 'waco-a-1',
        'failure_domain': 'waco',
        'reserved': {'millicores': 500, 'memory_mb': 1536, 'slots': 1},
        'capacity': {'millicores': 16000, 'memory_mb': 32768, 'slots': 8},
        'tasks': 0,
    }
    responses = {('GET', '/v1/hosts'): (200, {'hosts': [row]})}
    assert run(responses, 'hosts')[0] == 0
    heading, line, note = capsys.readouterr().out.splitlines()
    assert heading.split()[:5] == ['host', 'domain', 'rack', 'status', 'cores']
    assert line.split()[:7] == [
        'waco-a-1',
        'waco',
        '-',
        '-',
        '0.5/16',
        '1536MiB/32GiB',
        '1/8',
    ]
    assert note == '1 hosts'
    run(responses, 'hosts', '--output', 'json')
    assert json.loads(capsys.readouterr().out) == {'hosts': [row]}


@pytest.mark.parametrize(
    ('arguments', 'request_line', 'text'),
    [
        (['jobs', '--state', 'queued'], 'GET /v1/jobs?state=queued', '0 jobs'),
        (['explain', 'a/b'], 'GET /v1/jobs/a%2Fb/explanation', 'no room'),
        (['cancel', 'j1'], 'DELETE /v1/jobs/j1', 'job j1 is cancelled'),
        (['drain', 'h1'], 'POST /v1/hosts/h1/drain', 'no new work'),
        (['restore', 'h1'], 'POST /v1/hosts/h1/restore', 'again'),
        (['show'], 'GET /v1/configuration', 'version'),
    ],
)
def test_each_command_sends_its_request(capsys, arguments, request_line, text):
    method, _, path = request_line.partition(' ')
    document = {'state': 'cancelled', 'lines': ['no room on 24 hosts']}
    responses = {(method, path.partition('?')[0]): (200, document)}
    code, requests = run(responses, *arguments)
    assert (code, *requests[-1][:2]) == (0, method, path)
    assert text in capsys.readouterr().out


def test_status_fails_for_a_front_end_that_is_not_ready(capsys):
    responses = {
        ('GET', '/healthz'): (200, {'name': 'frontend-1'}),
        ('GET', '/readyz'): (503, {'reason': 'no configuration'}),
    }
    assert run(responses, 'status')[0] == 1
    out = capsys.readouterr().out
    assert 'frontend-1' in out
    assert 'no configuration' in out


def test_submit_sends_the_payload_and_prints_the_job_id(
    tmp_path, capsysbinary
):
    (tmp_path / 'payload.bin').write_bytes(b'\x00\xff')
    file = tmp_path / 'job.yaml'
    file.write_text(JOB.format(job_class='batch'))
    responses = {
        ('POST', '/v1/jobs'): (200, {'job_id': 'j1'}),
        ('POST', '/v1/requests'): (200, b'\x01\xfe'),
    }
    code, requests = run(responses, 'submit', str(file))
    body = requests[-1][3]
    assert code == 0
    assert base64.b64decode(body['payload_base64']) == b'\x00\xff'
    assert (body['key'], body['resources']['millicores']) == ('order-17', 500)
    assert b'job j1 is known already' in capsysbinary.readouterr().out
    file.write_text(JOB.format(job_class='quick'))
    assert run(responses, 'submit', str(file))[0] == 0
    assert capsysbinary.readouterr().out == b'\x01\xfe'
    (tmp_path / 'payload.bin').unlink()
    assert run(responses, 'submit', str(file))[0] == 2
    file.write_text(JOB.format(job_class='bulk'))
    assert run(responses, 'submit', str(file))[0] == 2


@pytest.mark.parametrize('cell', ['brazos', 'suenario'])
def test_example_jobs_belong_to_declared_teams(cell):
    declared = check_declaration(EXAMPLES / cell / 'declaration')
    teams = {team.name for team in declared.teams}
    jobs = [load_job(path) for path in (EXAMPLES / cell / 'jobs').iterdir()]
    assert len(jobs) == 3
    assert {job.team for job in jobs} <= teams


def test_serve_passes_checked_settings_to_the_composition_root(monkeypatch):
    served = []

    class Composition:
        run_frontend = run_scheduler = staticmethod(served.append)

    monkeypatch.setitem(
        sys.modules, 'sassafrasgate.composition.daemons', Composition
    )
    frontend = SETTINGS.with_name('frontend-2.yaml')
    for role, path in (('scheduler', SETTINGS), ('frontend', frontend)):
        assert run_command_line(['serve', role, '--settings', str(path)]) == 0
    assert [settings.name for settings in served] == [
        'scheduler-1',
        'frontend-2',
    ]
    # The settings of a front end have no address for the inner protocol.
    wrong_settings = ['serve', 'scheduler', '--settings', str(frontend)]
    assert run_command_line(wrong_settings) == 2


def test_daemon_does_not_import_modules_that_only_operators_need():
    # Each of these modules would take up memory in every daemon of the cell.
    script = f"""\
import sys, types
from sassafrasgate.commands.jobs import load_job
from sassafrasgate.commands.main import run_command_line
root = types.ModuleType('sassafrasgate.composition.daemons')
root.run_scheduler = lambda settings: None
sys.modules['sassafrasgate.composition.daemons'] = root
path = {str(SETTINGS)!r}
code = run_command_line(['serve', 'scheduler', '--settings', path])
unwanted = {{'httpx', 'rich', 'difflib', 'sassafrasgate.commands.outputs',
    'sassafrasgate.commands.clients', 'msgspec',
    'sassafrasgate.configuration.declarations'}}
print(code, sorted(unwanted & set(sys.modules)))
"""
    completed = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        check=True,
        text=True,
        cwd=EXAMPLES.parent,
    )
    assert completed.stdout == '0 []\n'
