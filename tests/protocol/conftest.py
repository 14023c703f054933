"""Fixtures for stand-in processes that the tests of a module share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.processes import Processes

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(scope='module')
def processes(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Processes]:
    """Return a starter of processes, which end with the module's tests."""
    with Processes(tmp_path_factory.mktemp('processes')) as started:
        yield started
