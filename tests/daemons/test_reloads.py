"""Guards a process that is told to reload while it still starts."""

from os import mkfifo
from signal import SIGHUP
from subprocess import PIPE
from subprocess import Popen
import sys

from sassafrasgate.commands.results import ExitCode
from tests.processes import ROOT


def test_reload_during_the_start_does_not_end_the_process(tmp_path):
    # Found by the soak (seed 10): SIGHUP ended a process that had read its
    # settings and did not yet wait for the signal. The process reads its
    # settings from a pipe here, so the signal comes at that moment.
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
