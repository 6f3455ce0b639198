"""The line through measured points, and the verdicts of checks on figures and budgets."""

import json
import re

import pytest

from benchmarks.scaling.checks import (
    Reference,
    Budget,
    Verdict,
    check_budget,
    check_figure,
    key,
    make_reference,
    read_reference,
    write_reference,
)
from benchmarks.scaling.figures import Quantity, Role, figure, from_json
from benchmarks.scaling.fit import fit
from benchmarks.scaling.plots import plot
from benchmarks.scaling.run import median_figure

KINDS = {"bytes": Quantity.BYTES, "memory": Quantity.MEMORY, "time": Quantity.TIME}


def measured(slope, quantity):
    points = [(size, 7 + slope * size) for size in (1, 2, 4)]
    return figure(Role.CONTROL, "x", quantity, "a unit", "units", points)


def budget(value, quantity=Quantity.BYTES):
    return Budget("b", quantity, value, 100, "bytes")


def test_a_line_is_fitted_and_its_deviation_is_reported_for_other_points():
    line = fit([(1, 5), (2, 7), (4, 11)])
    assert (line.slope, line.intercept, line.deviation) == pytest.approx((2, 3, 0))
    square = fit([(1, 1), (2, 4), (4, 16)])
    assert square.slope == pytest.approx(36 / 7)
    assert square.power == pytest.approx(2)
    assert square.deviation == pytest.approx(6)  # at size 1: measured 1, the line 36/7 - 5 = 1/7


def test_a_fit_needs_three_sizes():
    with pytest.raises(ValueError, match="a line needs 3 sizes"):
        fit([(1, 1), (2, 2), (2, 3)])


@pytest.mark.parametrize(
    ("kind", "change", "verdict"),
    [
        ("bytes", 1.09, Verdict.FITS),
        ("bytes", 1.11, Verdict.FAILED),
        ("bytes", 0.89, Verdict.FAILED),  # the capacity page would be wrong
        ("memory", 1.11, Verdict.FAILED),
        ("time", 1.49, Verdict.FITS),
        ("time", 1.51, Verdict.FAILED),
        ("time", 0.2, Verdict.FITS),
    ],
)
def test_a_figure_out_of_tolerance_fails(kind, change, verdict):
    reference = make_reference(1.0, [measured(100, KINDS[kind])], [])
    assert check_figure(measured(100 * change, KINDS[kind]), reference).verdict is verdict


def test_a_figure_that_the_reference_lacks_fails():
    assert check_figure(measured(1, Quantity.BYTES), make_reference(1.0, [], [])).verdict is Verdict.FAILED


def test_an_exceeded_budget_never_fits_and_fails_if_it_gets_worse():
    known = make_reference(1.0, [], [budget(150)])
    assert check_budget(budget(100), known).verdict is Verdict.FITS
    assert check_budget(budget(101), known).verdict is Verdict.NO_WORSE
    assert check_budget(budget(164), known).verdict is Verdict.NO_WORSE
    assert check_budget(budget(166), known).verdict is Verdict.FAILED
    assert check_budget(budget(224, Quantity.TIME), known).verdict is Verdict.NO_WORSE
    unknown = make_reference(1.0, [], [budget(100)])
    assert check_budget(budget(101), unknown).verdict is Verdict.FAILED
    assert "fits" not in check_budget(budget(101), known).line()


def test_a_reference_is_read_as_written_and_other_modes_are_kept(tmp_path):
    path, one = tmp_path / "reference.json", make_reference(2.0, [measured(3, Quantity.TIME)], [budget(150)])
    write_reference(path, "quick", one)
    write_reference(path, "full", make_reference(1.0, [], []))
    assert read_reference(path, "quick") == one
    assert read_reference(path, "other").figures == {}


def test_several_runs_give_the_median_time_at_each_size_and_the_first_count():
    one, two, three = [(1, 5), (2, 7), (4, 30)], [(1, 9), (2, 8), (4, 11)], [(1, 6), (2, 1), (4, 12)]
    for quantity, points in ((Quantity.TIME, ((1, 6), (2, 7), (4, 12))), (Quantity.BYTES, tuple(one))):
        runs = [figure(Role.CONTROL, "x", quantity, "a unit", "units", rows) for rows in (one, two, three)]
        assert median_figure(runs).points == points
        assert median_figure(runs).line == fit(points)


def test_a_figure_survives_json_and_its_plot_is_deterministic():
    one = measured(3, Quantity.TIME)
    restored = from_json(json.loads(json.dumps(one.as_json())))
    assert restored == one
    assert key(restored) == "control-instance: x"
    drawn = plot("t", [one])
    assert drawn == plot("t", [restored])
    assert len(re.findall("<use [^>]*fill: #1f77b4", drawn)) == 3


@pytest.mark.parametrize(("slope", "verdict"), [(1.4, Verdict.FITS), (1.6, Verdict.FAILED), (-2.0, Verdict.FITS)])
def test_a_time_without_growth_may_vary_by_noise_and_fails_if_it_grows(slope, verdict):
    points = [(size, 1000 + slope * size) for size in (250, 500, 1000)]
    made = figure(Role.CONTROL, "x", Quantity.TIME, "steps a unit", "units", points)
    assert check_figure(made, Reference(1.0, {key(made): -0.3}, {})).verdict is verdict
