"""Draws one plot a role as SVG: a panel for each figure, with its points and line. Equal figures give an equal file."""

from __future__ import annotations

import io

import matplotlib

from benchmarks.scaling.figures import Figure

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "scalefall"  # element ids derive from it; without it they are random
matplotlib.rcParams["svg.fonttype"] = "none"  # text elements, not outlines
import matplotlib.pyplot as pyplot  # noqa: E402

COLUMNS = 3
PANEL_WIDTH_INCHES = 4.0
PANEL_HEIGHT_INCHES = 2.6


def plot(title: str, figures: list[Figure]) -> str:
    """Return the text of an SVG file."""
    rows = max(1, -(-len(figures) // COLUMNS))
    sheet, panels = pyplot.subplots(
        rows, COLUMNS, figsize=(COLUMNS * PANEL_WIDTH_INCHES, rows * PANEL_HEIGHT_INCHES + 0.5), squeeze=False
    )
    sheet.suptitle(title)
    for number, panel in enumerate(panels.flat):
        if number < len(figures):
            _draw(panel, figures[number])
        else:
            panel.set_visible(False)
    sheet.tight_layout()
    text = io.StringIO()
    sheet.savefig(text, format="svg", metadata={"Date": None})
    pyplot.close(sheet)
    return text.getvalue()


def _draw(panel: pyplot.Axes, figure: Figure) -> None:
    sizes = [x for x, _ in figure.points]
    ends = [0, max(sizes)]
    panel.plot(ends, [figure.line.at(x) for x in ends], color="0.6")
    panel.plot(sizes, [y for _, y in figure.points], "o", color="tab:blue", markersize=4)
    panel.set_title(f"{figure.name}\n{figure.line.slope:.4g} {figure.unit}", fontsize=8)
    panel.set_xlabel(figure.sizes, fontsize=7)
    panel.tick_params(labelsize=7)
    panel.set_ylim(bottom=0)
