"""Checks all models; exits with status 1 if a verdict is not as expected."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from importlib import import_module
import sys
from typing import TYPE_CHECKING

from models.specifications import check_variant
from models.specifications import list_variants
from models.specifications import SPECIFICATIONS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from models.specifications import Result
    from models.specifications import Specification
    from sassafrasgate.core.registries import Registry

MODULES = (
    'ownership',
    'pipelines',
    'trimming',
    'fencing',
    'attempts',
    'takeovers',
    'handovers',
    'pauses',
    'capacity',
    'caps',
    'configurations',
    'transfers',
)
# Half of the 10 cores that the tests are meant to share. More processes would
# not help, because the longest single check determines the duration of a run.
MAX_PROCESSES = 5


def load_specifications() -> None:
    """Import the modules that register specifications."""
    for module in MODULES:
        import_module(f'models.{module}')


def check_registered(name: str, variant: str) -> Result:
    """Check one registered variant in a worker process."""
    load_specifications()
    return check_variant(SPECIFICATIONS.find(name), variant)


def list_checks(
    registry: Registry[str, Specification],
) -> list[tuple[str, str]]:
    """Return all pairs of model and variant in registration order."""
    return [
        (name, variant)
        for name in registry
        for variant in list_variants(registry.find(name))
    ]


def run_checks(names: Iterable[str] = ()) -> list[Result]:
    """Check all variants, or those of the given models, in parallel."""
    load_specifications()
    wanted = set(names)
    checks = [
        check
        for check in list_checks(SPECIFICATIONS)
        if not wanted or check[0] in wanted
    ]
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        return list(pool.map(check_registered, *zip(*checks, strict=True)))


def format_results(results: Iterable[Result]) -> str:
    """Return the table of results, with a trace for each unexpected one."""
    lines = [
        f'{"model":<24} {"variant":<46} {"states":>7} {"depth":>5} '
        f'{"seconds":>7}  {"verdict":<12} expected  detail'
    ]
    for result in results:
        lines.append(
            f'{result.model:<24} {result.variant:<46} {result.states:>7} '
            f'{result.depth:>5} {result.seconds:>7.1f}  '
            f'{result.verdict:<12} {result.expected:<9} {result.detail}'
        )
        if not result.as_expected:
            lines.append('  NOT AS EXPECTED')
            lines.extend(f'    {label}' for label in result.trace)
    return '\n'.join(lines)


def report_results(results: list[Result]) -> int:
    """Print the table of results and return the exit status."""
    print(format_results(results))
    failures = [result for result in results if not result.as_expected]
    if not results:
        print('no variant was checked')
        return 1
    print(f'{len(results)} variants, {len(failures)} not as expected')
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(report_results(run_checks(sys.argv[1:])))
