"""The table at the end of a demo."""

from collections.abc import Iterator

import msgspec
from hdrh.histogram import HdrHistogram

from baobabhinge_standins.traffic import Records, Verdict
from baobabhinge_standins.traffic.costs import Cost

PERCENTILES = (50, 95, 99)
MICROSECONDS_PER_MILLISECOND = 1000
PER_CENT = 100
KIND_WIDTH = 24
NUMBER_WIDTH = 9


class Summary(msgspec.Struct, frozen=True):
    """What the table shows beside the records.

    Parameters
    ----------
    doubled : int
        Calls that may not be repeated and ran more than once.
    sent_away : float
        Share of requests that ran outside the caller's region.
    cost : Cost
        Work and traffic.
    """

    doubled: int
    sent_away: float
    cost: Cost


class DemoEnd(msgspec.Struct, frozen=True):
    """What a demo has shown."""

    records: Records
    summary: Summary

    @property
    def is_success(self) -> bool:
        """Tell whether each request ended well and none was doubled."""
        final = {Verdict.answered, Verdict.not_run}
        is_final = final.issuperset(self.records.outcomes)
        has_all = len(self.records.samples) == self.records.sent
        return is_final and has_all and not self.summary.doubled


def render_table(end: DemoEnd) -> str:
    """Return the table as lines of text."""
    outcomes = _list_outcomes(end.records, end.summary)
    latencies = _list_latencies(end.records)
    return '\n'.join([*outcomes, '', *latencies])


def _list_outcomes(records: Records, summary: Summary) -> Iterator[str]:
    yield _render('requests', str(records.sent))
    for verdict in Verdict:
        yield _render(verdict, str(records.outcomes[verdict]))
    yield _render('doubled', str(summary.doubled))
    sent_away = round(summary.sent_away * PER_CENT, 1)
    yield _render('sent away, %', str(sent_away))
    cost = summary.cost
    yield _render('cost', str(round(cost.units)))
    yield _render('  generated tokens', str(cost.generated_tokens))
    yield _render('  prefilled tokens', str(cost.prefilled_tokens))
    yield _render('  bytes sent away', str(cost.wan_bytes))


def _list_latencies(records: Records) -> Iterator[str]:
    titles = [f'p{percentile}' for percentile in PERCENTILES]
    yield _render('first token, end, ms', *titles, *titles)
    for kind, latencies in sorted(records.latencies.items()):
        yield _render(
            kind,
            *_list_percentiles(latencies.first),
            *_list_percentiles(latencies.whole),
        )


def _list_percentiles(histogram: HdrHistogram) -> Iterator[str]:
    for percentile in PERCENTILES:
        microseconds = histogram.get_value_at_percentile(percentile)
        yield str(round(microseconds / MICROSECONDS_PER_MILLISECOND))


def _render(title: str, *cells: str) -> str:
    padded = [cell.rjust(NUMBER_WIDTH) for cell in cells]
    return ''.join([title.ljust(KIND_WIDTH), *padded])
