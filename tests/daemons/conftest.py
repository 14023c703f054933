"""A fixture that starts a cell of real processes for each test."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.cells import Cell
from tests.cells import CellPlan
from tests.processes import Processes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from pathlib import Path


@pytest.fixture
def start_cell(tmp_path: Path) -> Iterator[Callable[..., Cell]]:
    """Return a function that starts a cell and waits until it serves."""
    with Processes(tmp_path) as processes:

        def start(**sizes: int) -> Cell:
            cell = Cell(tmp_path, CellPlan(**sizes), processes)
            cells.append(cell)
            cell.start_serving()
            return cell

        cells: list[Cell] = []
        yield start
        for cell in cells:
            cell.kill_all()
