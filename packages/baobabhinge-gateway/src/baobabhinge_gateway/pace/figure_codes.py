"""Figures of one server as gateways send them to each other."""

from math import log

import msgspec

from baobabhinge_gateway.pace.figures import Figures
from baobabhinge_gateway.pace.paces import MAX_PACE

# Sums are sent in thousandths.
THOUSAND = 1000
# Bounds on what another gateway reports of one server.
MAX_WEIGHT = 10_000
MAX_MEAN = log(MAX_PACE)
MAX_WORK_MS = 10_000_000

EncodedFigures = tuple[int, ...]


def encode_figures(figures: Figures) -> EncodedFigures:
    """Return figures as whole numbers."""
    *sums, work, prefill = msgspec.structs.astuple(figures)
    thousandths = [round(one * THOUSAND) for one in sums]
    return (*thousandths, round(work), round(prefill))


def decode_figures(encoded: EncodedFigures) -> Figures:
    """Return what another gateway has encoded, within bounds.

    Raises
    ------
    ValueError
        If there are too few or too many numbers.
    """
    *sums, work, prefill = encoded
    first = sums[2:]
    return Figures(
        *_bound_sum(*sums[:2]),
        *_bound_sum(*first),
        max(0, min(MAX_WORK_MS, work)),
        max(0, min(MAX_WORK_MS, prefill)),
    )


def _bound_sum(total: int, weight: int) -> tuple[float, float]:
    bounded = max(0, min(MAX_WEIGHT, weight / THOUSAND))
    limit = MAX_MEAN * bounded
    return max(-limit, min(limit, total / THOUSAND)), bounded
