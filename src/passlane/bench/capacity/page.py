"""Writes estimates and slopes as Markdown, and puts them between marks in a page."""

from collections.abc import Iterable, Sequence
from pathlib import Path

from passlane.bench.capacity.estimate import Estimate
from passlane.bench.capacity.slopes import Slopes
from passlane.bench.straight_line import Line

BEGIN_MARK = "<!-- figures: begin (written by `passlane bench run capacity`) -->"
END_MARK = "<!-- figures: end -->"


class PageError(Exception):
    """The page has no place for the figures."""


def figures_text(estimates: Sequence[Estimate], slopes: Slopes) -> str:
    """Return all tables as Markdown."""
    parts: list[str] = []
    for role in dict.fromkeys(estimate.role for estimate in estimates):
        parts.append(f"### {role}\n")
        parts.append(_estimate_table([item for item in estimates if item.role == role]))
    parts.append("### Slopes\n")
    parts.append(_slope_table(slopes))
    return "\n".join(parts)


def _estimate_table(estimates: Iterable[Estimate]) -> str:
    rows = [
        "| what | at the size | bound | fits | worked out from | carried by |",
        "|---|---|---|---|---|---|",
    ]
    for item in estimates:
        bound = "" if item.bound is None else _figure(item.bound, item.unit)
        fits = {None: "", True: "yes", False: "**no**"}[item.fits]
        rows.append(
            f"| {item.quantity} | {_figure(item.value, item.unit)} | {bound} | {fits} "
            f"| {item.working} | {item.mechanism} |"
        )
    return "\n".join(rows) + "\n"


def _slope_table(slopes: Slopes) -> str:
    rows = [
        "| experiment | line | points (x: y) | fit | largest residual |",
        "|---|---|---|---|---|",
    ]
    for measured in slopes.lines:
        line = measured.line
        rows.append(
            f"| `{measured.experiment}` | {line.name} | {_points(line)} "
            f"| {line.intercept:.4g} + {line.slope:.4g} * {line.x_unit}, in {line.y_unit} "
            f"| {line.largest_residual:.2g} |"
        )
    return "\n".join(rows) + "\n"


def _points(line: Line) -> str:
    return ", ".join(f"{point.x:g}: {point.y:.4g}" for point in line.points)


def _figure(value: float, unit: str) -> str:
    """Return a figure with its unit, shares of a core in per cent and bytes in MB."""
    if unit == "core":
        return f"{value * 100:.3g}% of a core"
    if unit == "bytes" and value >= 1e6:
        return f"{value / 1e6:,.4g} MB"
    if unit == "bytes/s" and value >= 1e5:
        return f"{value / 1e6:,.3g} MB/s"
    return f"{value:,.4g} {unit}"


def replace_figures(page: Path, figures: str) -> None:
    """Put the tables between the marks of a page; raise ``PageError`` without marks."""
    text = page.read_text(encoding="utf-8")
    before, begin, rest = text.partition(BEGIN_MARK)
    _, end, after = rest.partition(END_MARK)
    if not begin or not end:
        raise PageError(f"{page} lacks the marks {BEGIN_MARK!r} and {END_MARK!r}")
    page.write_text(f"{before}{begin}\n\n{figures}\n{end}{after}", encoding="utf-8")
