"""``passlane bench run capacity``: figures at the design size, from measured slopes.

Experiments without a report in the folder are run first, which takes some minutes; a
report that is there is used as it is. Run from a checkout, the figures are written into
``docs/CAPACITY.md`` too.
"""

import tempfile
from pathlib import Path

import msgspec

from passlane.bench.capacity.control_role import control_estimates
from passlane.bench.capacity.estimate import Estimate
from passlane.bench.capacity.node_role import node_estimates
from passlane.bench.capacity.page import figures_text, replace_figures
from passlane.bench.capacity.reports import Reports, load_reports, missing_reports
from passlane.bench.capacity.sizes import Bounds, DesignSize
from passlane.bench.capacity.store_role import store_estimates
from passlane.bench.registry import find_experiment

PAGE = Path("docs/CAPACITY.md")
REPORT_FILE = "capacity.md"


def run(report: Path | None) -> int:
    """Measure what is missing, work out the figures, print and write them.

    Returns
    -------
    int
        0, or the exit code of an experiment that failed.
    """
    if report is None:
        with tempfile.TemporaryDirectory() as folder:
            return run(Path(folder))
    for name in missing_reports(report):
        print(f"--- {name}")
        code = _run_experiment(name, report)
        if code != 0:
            return code
    reports = load_reports(report)
    estimates = all_estimates(reports, DesignSize(), Bounds())
    _print(estimates)
    text = figures_text(estimates, reports.slopes)
    (report / REPORT_FILE).write_text(text, encoding="utf-8")
    if PAGE.exists():
        replace_figures(PAGE, text)
    return 0


def all_estimates(reports: Reports, size: DesignSize, bounds: Bounds) -> list[Estimate]:
    """Return the estimates of all roles."""
    return [
        *node_estimates(reports, size, bounds),
        *store_estimates(reports, size),
        *control_estimates(reports, size),
    ]


def _run_experiment(name: str, folder: Path) -> int:
    found = find_experiment(name)
    if found is None:
        raise msgspec.ValidationError(f"no experiment {name!r} is registered")
    return found.load()(folder)


def _print(estimates: list[Estimate]) -> None:
    for item in estimates:
        bound = "" if item.bound is None else f" (bound {item.bound:g}: {item.fits})"
        print(f"{item.role}: {item.quantity}: {item.value:.4g} {item.unit}{bound}")
