"""Policies beside each other, day by day."""

from collections.abc import Iterator, Sequence

import msgspec

from baobabhinge_standins.playeddays.entries import Entry, PlayedDay

AWAY = 'GB between regions'
# Days drawn for one run only can't be compared.
DRAWN = 'fresh-'
COLUMNS = (
    'site',
    'day',
    'policy',
    'worth',
    'score',
    'served',
    'worst zone',
    'worst seconds',
    'worst kind',
    'cost of bytes away',
    'broken rules',
)


class PolicyDay(msgspec.Struct, frozen=True):
    """A day under one policy."""

    site: str
    policy: str
    day: PlayedDay


def list_policy_days(entries: Sequence[Entry]) -> Sequence[PolicyDay]:
    """Return the newest play of each standard day under each policy."""
    newest = {
        (played.site, played.day.name, played.policy): played
        for played in _list_plays(entries)
    }
    return [newest[key] for key in sorted(newest)]


def _list_plays(entries: Sequence[Entry]) -> Iterator[PolicyDay]:
    for entry in entries:
        if entry.policy is None or entry.site is None:
            continue
        for day in entry.days:
            if not day.name.startswith(DRAWN):
                yield PolicyDay(entry.site, entry.policy, day)


def render_policy_days(days: Sequence[PolicyDay]) -> str:
    """Return a table in Markdown."""
    rule = ['---' for _ in COLUMNS]
    rows = [_list_cells(one) for one in days]
    return '\n'.join(
        '| {cells} |'.format(cells=' | '.join(cells))
        for cells in (COLUMNS, rule, *rows)
    )


def _list_cells(one: PolicyDay) -> Sequence[str]:
    day = one.day
    shares = (
        day.worth,
        day.score or 0,
        day.served,
        day.find_part('worst zone'),
        day.find_part('worst windows'),
        day.find_part('worst class'),
        day.find_price(AWAY),
    )
    return (
        one.site,
        day.name,
        one.policy,
        *(f'{share:.3f}' for share in shares),
        ' '.join(sorted(day.rules)),
    )
