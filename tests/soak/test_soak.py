"""Short soaks of real processes under faults.

Longer ones run by hand: ``make soak``.
"""

from pathlib import Path

import anyio
import pytest

from tests.soak.cells import PROGRAM
from tests.soak.faults import FAULTS
from tests.soak.run import Account
from tests.soak.run import main
from tests.soak.run import run_soak

SECONDS = 8.0
# Seeds that have failed, with the fault behind it and the cause.
REGRESSIONS = {
    2026120403: (
        'restart-worker',
        'a start that reached the new life of a restarted worker was taken '
        'for lost and repeated elsewhere',
    ),
}


def run(
    directory: Path,
    seed: int,
    kinds: tuple[str, ...] = (),
    program: str = PROGRAM,
) -> Account:
    async def soak() -> Account:
        return await run_soak(
            directory, seed, SECONDS, kinds=kinds, program=program
        )

    return anyio.run(soak)


def test_promises_hold_under_faults(tmp_path):
    # Guards against a loss, a second run or a wrong state under faults that
    # only real processes, sockets and signals show.
    account = run(tmp_path, seed=5)

    assert account.broken == ()
    assert account.completed
    assert account.faults


@pytest.mark.parametrize('seed', REGRESSIONS)
def test_seeds_that_have_failed(tmp_path, seed):
    # Guards against the causes that `REGRESSIONS` names.
    kind, cause = REGRESSIONS[seed]

    account = run(tmp_path, seed, (kind,))

    assert account.broken == (), cause
    assert account.completed


def test_soak_notices_a_missing_guard(tmp_path):
    # Guards against a soak that passes whatever the product does.
    account = run(tmp_path, 5, ('cut-worker',), program='tests.soak.unguarded')

    assert any(' while present on [' in line for line in account.broken)


def test_unknown_fault_is_reported(capsys):
    # Guards against a soak that silently injects nothing.
    with pytest.raises(SystemExit):
        main(['--fault', 'meteor'])

    message = capsys.readouterr().err
    assert "'meteor'" in message
    assert all(name in message for name in FAULTS)
