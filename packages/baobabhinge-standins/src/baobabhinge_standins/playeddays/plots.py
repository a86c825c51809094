"""A plot of policies beside each other."""

from collections.abc import Sequence
from pathlib import Path

import numpy
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from baobabhinge_standins.playeddays.tables import PolicyDay

WIDTH_INCHES = 10
HEIGHT_INCHES = 4
LABEL_POINTS = 8
HIGHEST = 1.15


def draw_policy_days(days: Sequence[PolicyDay], path: Path) -> None:
    """Write one panel of bars for each site to an image at ``path``."""
    sites = sorted({one.site for one in days})
    drawing = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES * len(sites)))
    for index, site in enumerate(sites, 1):
        axes = drawing.add_subplot(len(sites), 1, index)
        _draw_site(axes, [one for one in days if one.site == site])
        axes.set_title(f'{site}: worth of the standard days')
    drawing.tight_layout()
    drawing.savefig(path)


def _draw_site(axes: Axes, days: Sequence[PolicyDay]) -> None:
    names = sorted({one.day.name for one in days})
    policies = sorted({one.policy for one in days})
    width = 1 / (len(policies) + 1)
    for shift, policy in enumerate(policies):
        axes.bar(
            numpy.arange(len(names)) + shift * width,
            [_find_worth(days, policy, name) for name in names],
            width,
            label=policy,
        )
    axes.set_xticks(numpy.arange(len(names)) + width, names)
    # Room for the legend above the bars, which end at 1.
    axes.set_ylim(0, HIGHEST)
    axes.legend(
        fontsize=LABEL_POINTS,
        loc='upper center',
        ncols=len(policies),
    )


def _find_worth(days: Sequence[PolicyDay], policy: str, name: str) -> float:
    return next(
        (
            one.day.worth
            for one in days
            if one.policy == policy and one.day.name == name
        ),
        0,
    )
