"""Tests a reload signal during the start of a process."""

from os import mkfifo
from signal import SIGHUP
from subprocess import PIPE
from subprocess import Popen
import sys

from sassafrasgate.commands.results import ExitCode
from tests.processes import ROOT


def test_reload_during_the_start_does_not_end_the_process(tmp_path):
    # Guards against SIGHUP ending a process that has read its settings but
    # has no handler for the signal yet (found by the soak, seed 10). The
    # settings are read from a pipe, so that the signal arrives in that time.
    path = tmp_path / 'settings.yaml'
    mkfifo(path)
    with Popen(
        [
            *(sys.executable, '-m', 'sassafrasgate'),
            *('serve', 'entry', '--settings', str(path)),
        ],
        cwd=ROOT,
        stderr=PIPE,
    ) as process:
        with path.open('w') as pipe:
            process.send_signal(SIGHUP)
            pipe.write('name: [not, a, name]\n')
        _, message = process.communicate(timeout=30)

    assert process.returncode == ExitCode.BAD_INPUT
    assert b'name' in message
