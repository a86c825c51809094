"""Tables of summaries."""

from collections.abc import Sequence

from baobabhinge_standins.experiment.summary import Summary

PERCENT = 100
COLUMNS = (
    'workload',
    'policy',
    'offered',
    'first p50 ms',
    'p95',
    'p99',
    'gap p95 ms',
    'goodput %',
    'not run %',
    'away %',
    'cost',
    'runs/request',
    'quiet goodput %',
)


def render_table(summaries: Sequence[Summary]) -> str:
    """Return a table in Markdown."""
    rule = ['---' for _ in COLUMNS]
    rows = [_list_cells(summary) for summary in summaries]
    return '\n'.join(map(_render_row, (COLUMNS, rule, *rows)))


def _render_row(cells: Sequence[str]) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _list_cells(row: Summary) -> list[str]:
    rounded = (row.first_p50, row.first_p95, row.first_p99, row.gap_p95)
    return [
        row.workload,
        row.policy,
        str(row.offered),
        *(f'{figure:.0f}' for figure in rounded),
        _render_share(row.goodput),
        _render_share(row.not_run),
        _render_share(row.away),
        f'{row.cost:.1f}',
        f'{row.runs:.3f}',
        _render_share(row.quiet_goodput),
    ]


def _render_share(share: float) -> str:
    percent = share * PERCENT
    return f'{percent:.1f}'
