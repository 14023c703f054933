"""Measures scheduling passes over steps that wait for capacity."""

from __future__ import annotations

from random import Random
from time import thread_time
from typing import TYPE_CHECKING

from benchmarks.registry import register_measurement
from benchmarks.registry import Table
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workflows import Advice
from sassafrasgate.dispatch.actions import AskAdvice
from sassafrasgate.dispatch.events import AdviceAnswered
from sassafrasgate.dispatch.events import PassDue
from sassafrasgate.dispatch.transitions import decide
from tests.dispatch.drivers import Driver
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import WALL_MS

if TYPE_CHECKING:
    from typing import Any

WORKER_COUNTS = (270, 1_000, 3_000)
GANGS = 12
SINGLES = 30
PASSES = 30
PASS_INTERVAL_MS = 20
CAPACITY = Resources(16_000, 32_768)
FILLING = Resources(3_800, 3_000)
GANG_DEMAND = Resources(4_500, 4_500)
SINGLE_DEMAND = Resources(3_900, 5_600)
ADMITTED_SHARE = 0.45


def fill_workers(workers: int) -> Any:
    """Return a driver whose workers are full, with steps that wait."""
    random = Random(1)
    driver = Driver(workers, CAPACITY, 97)
    number = 0
    for number in range(workers):
        step = make_step(4, 2_000 + random.randrange(8_000), demand=FILLING)
        driver.confirm(driver.submit(f'{number:016x}', step))
    for gang in (True,) * GANGS + (False,) * SINGLES:
        number += 1
        step = make_step(
            24 if gang else 3,
            4_000 if gang else 640,
            gang=gang,
            demand=GANG_DEMAND if gang else SINGLE_DEMAND,
        )
        actions = driver.submit(f'{number:016x}', step, queue='advised')
        while calls := [a for a in actions if isinstance(a, AskAdvice)]:
            actions = [
                action
                for call in calls
                for action in _answer(driver, random, call)
            ]
    return driver


def _answer(driver: Any, random: Random, call: AskAdvice) -> list[Any]:
    tickets = tuple(
        (worker, 'ticket')
        for worker in call.workers
        if random.random() < ADMITTED_SHARE
    )
    actions: list[Any] = driver.feed(
        AdviceAnswered(
            call.step,
            call.entry_host,
            call.workers,
            Advice(tickets, 10**7),
            driver.now,
        )
    )
    return actions


@register_measurement('scheduling-passes')
def measure_passes() -> Table:
    """Measure the processor time of passes that start nothing."""
    rows = []
    for workers in WORKER_COUNTS:
        driver = fill_workers(workers)
        times_ms = []
        for _ in range(PASSES):
            driver.now += PASS_INTERVAL_MS
            began = thread_time()
            decide(driver.state, PassDue(), driver.now, WALL_MS + driver.now)
            times_ms.append((thread_time() - began) * 1_000)
        rows.append(
            (
                workers,
                len(driver.state.runs),
                len(driver.state.waiting_steps),
                round(sum(times_ms) / len(times_ms), 2),
                round(min(times_ms), 2),
            )
        )
    return Table(
        'Scheduling passes over steps that wait for capacity',
        ('workers', 'runs', 'waiting steps', 'mean, ms', 'least, ms'),
        tuple(rows),
        (
            f'A pass every {PASS_INTERVAL_MS} ms.',
            f'{GANGS} of the waiting steps are gangs.',
        ),
    )
