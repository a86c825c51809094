"""Plots of summaries."""

from collections.abc import Sequence
from pathlib import Path
from statistics import fmean

import msgspec
import numpy
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from baobabhinge_standins.experiment.summary import Summary

WIDTH_INCHES = 12
HEIGHT_INCHES = 9
ROWS = 2
COLUMNS = 2
LABEL_POINTS = 7
LABEL_DEGREES = 30


class Panel(msgspec.Struct, frozen=True):
    """One figure of the summaries.

    Parameters
    ----------
    title : str
        Title with the unit.
    figure : str
        Name of the field of a summary.
    """

    title: str
    figure: str


class PolicyBar(msgspec.Struct, frozen=True):
    """One policy under one workload."""

    policy: str
    workload: str


PANELS = (
    Panel('99th percentile to the first token, ms', 'first_p99'),
    Panel('goodput, share', 'goodput'),
    Panel('sent away, share', 'away'),
    Panel('cost of an answer', 'cost'),
)


def draw_plot(summaries: Sequence[Summary], title: str, path: Path) -> None:
    """Write bars of the main figures to an image at ``path``."""
    drawing = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    for index, panel in enumerate(PANELS, 1):
        axes = drawing.add_subplot(ROWS, COLUMNS, index)
        axes.set_title(panel.title)
        _draw_bars(axes, summaries, panel)
    drawing.suptitle(title)
    drawing.tight_layout()
    drawing.savefig(path)


def _draw_bars(
    axes: Axes,
    summaries: Sequence[Summary],
    panel: Panel,
) -> None:
    workloads = _list_workloads(summaries)
    policies = dict.fromkeys(row.policy for row in summaries)
    width = 1 / (len(policies) + 1)
    for shift, policy in enumerate(policies):
        axes.bar(
            numpy.arange(len(workloads)) + shift * width,
            [
                _average(summaries, PolicyBar(policy, workload), panel)
                for workload in workloads
            ],
            width,
            label=policy,
        )
    axes.set_xticks(
        range(len(workloads)),
        workloads,
        rotation=LABEL_DEGREES,
        fontsize=LABEL_POINTS,
    )
    axes.legend(fontsize=LABEL_POINTS)


def _average(
    summaries: Sequence[Summary],
    wanted: PolicyBar,
    panel: Panel,
) -> float:
    return fmean(
        getattr(row, panel.figure)
        for row in summaries
        if PolicyBar(row.policy, row.workload) == wanted
    )


def _list_workloads(summaries: Sequence[Summary]) -> list[str]:
    return list(dict.fromkeys(row.workload for row in summaries))
