import msgspec
import pytest

from baobabhinge_standins.playeddays.entries import (
    Entry,
    UnreadableEntryError,
    read_entries,
)
from baobabhinge_standins.playeddays.plots import draw_policy_days
from baobabhinge_standins.playeddays.tables import (
    list_policy_days,
    render_policy_days,
)

DAY = {
    'name': 'quiet-1',
    'G': 0.9,
    'score': 0.75,
    'served': 0.98,
    'parts': [['worst zone', 0.3, 0.95], ['worst windows', 0.2, 0.91]],
    'prices': [['GB between regions', 0.001, 0.007]],
    'rules': {'LOST': 1},
}


def write_entry(folder, number, why, **changes):
    entry = {
        'id': f'{number}',
        'at': [f'2026-12-04T0{number}:00:00Z', ''],
        'site': 'kranplan',
        'why': why,
        'days': [{**DAY, **changes}],
    }
    path = folder / f'{number}.json'
    path.write_bytes(msgspec.json.encode(entry))


@pytest.mark.parametrize(
    ('why', 'policy'),
    [
        ('policy home-only: for the table', 'home-only'),
        ('policy home-only', None),
        ('a policy home-only: for the table', None),
        ('baseline', None),
    ],
)
def test_the_reason_of_a_run_names_its_policy(why, policy):
    assert Entry('1', [], why=why).policy == policy


def test_the_newest_play_of_a_day_under_each_policy_is_shown(tmp_path):
    write_entry(tmp_path, 1, 'policy soonest: old', G=0.5)
    write_entry(tmp_path, 2, 'policy soonest: new')
    write_entry(tmp_path, 3, 'policy home-only: new', G=0.7)
    write_entry(tmp_path, 4, 'policy soonest: drawn', name='fresh-1')
    write_entry(tmp_path, 5, 'trial', G=0.1)
    days = list_policy_days(read_entries(tmp_path))
    rows = render_policy_days(days).splitlines()[2:]
    assert [row.split(' | ')[2:4] for row in rows] == [
        ['home-only', '0.700'],
        ['soonest', '0.900'],
    ]
    assert rows[1] == (
        '| kranplan | quiet-1 | soonest | 0.900 | 0.750 | 0.980 | 0.950 '
        '| 0.910 | 0.000 | 0.007 | LOST |'
    )
    draw_policy_days(days, tmp_path / 'plot.png')
    assert (tmp_path / 'plot.png').stat().st_size


def test_a_file_that_is_no_entry_is_named(tmp_path):
    (tmp_path / 'bad.json').write_text('{}')
    with pytest.raises(UnreadableEntryError, match=r'bad\.json'):
        read_entries(tmp_path)
