"""Overriding, explaining and merging again."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabhinge_settings import (
    Merger,
    SourceFile,
    explain_key,
    merge_files,
)
from baobabhinge_settings.errors import UnknownSettingError
from baobabhinge_settings.model import DataOrigin
from baobabhinge_settings.tests.test_faults import GOOD

BASE = SourceFile('10.ini', GOOD)
PLACEMENT = '[placement llm west]\nreplicas = {count} vms\n'
COUNTS = st.integers(min_value=1, max_value=9)
NAMES = st.from_regex('[2-9][0-9]-[a-z]{1,3}', fullmatch=True)


def override(name, count):
    return SourceFile(f'{name}.ini', PLACEMENT.format(count=count))


def get_replicas(files):
    placements = merge_files(files).services['llm'].placements
    return [place.replicas for place in placements]


@given(st.dictionaries(NAMES, COUNTS, min_size=1), st.randoms())
def test_last_name_in_byte_order_wins(counts, random):
    files = [BASE, *itertools.starmap(override, counts.items())]
    random.shuffle(files)
    assert get_replicas(files) == [counts[max(counts)]]


@given(st.lists(st.dictionaries(NAMES, COUNTS), max_size=6))
def test_merging_again_is_as_merging_anew(versions):
    merger = Merger()
    for counts in versions:
        files = [BASE, *itertools.starmap(override, counts.items())]
        assert merger.merge(files) == merge_files(files)


def test_explain_names_the_file_in_force_and_what_it_overrode():
    files = [override('20', 2), BASE, override('30', 3)]
    origins = explain_key(files, 'placement llm west', 'replicas')
    assert [(found.source, found.line, found.text) for found in origins] == [
        ('30.ini', 2, '3 vms'),
        ('20.ini', 2, '2 vms'),
        ('10.ini', 11, '1 vms'),
    ]


@pytest.mark.parametrize(
    ('section', 'key', 'listed'),
    [
        ('placement llm east', 'replicas', 'ledger east, llm west'),
        ('placement llm west', 'count', 'replicas'),
        ('', 'replicas', 'none'),
    ],
)
def test_explain_lists_what_there_is(section, key, listed):
    with pytest.raises(UnknownSettingError, match=f'{listed}$'):
        explain_key([BASE], section, key)


RULES = """[workspace dealers]
home = west
[data-rule one]
region = west
may-go-to = east
service = llm
[data-rule two]
region = west
may-go-to = none
workspace = dealers
service = llm
"""


@pytest.mark.parametrize(
    ('workspace', 'service', 'region', 'allowed'),
    [
        ('dealers', 'llm', 'west', {'west'}),
        ('', 'llm', 'west', {'west', 'east'}),
        ('dealers', 'llm', 'east', {'west', 'east', 'north'}),
        ('dealers', 'ledger', 'west', {'west', 'east', 'north'}),
    ],
)
def test_data_stay_where_every_rule_allows(workspace, service, region, allowed):
    north = '[region north]\nfailure-domains = a\n'
    placed = '[placement ledger north]\nreplicas = 1 vms\n'
    whole = merge_files([BASE, SourceFile('20.ini', RULES + north + placed)])
    origin = DataOrigin(service, workspace, region)
    assert whole.list_allowed_regions(origin) == allowed


def test_workspace_without_home_keeps_its_data_where_it_came_in():
    whole = merge_files([BASE, SourceFile('20.ini', RULES)])
    assert whole.get_data_region('dealers', 'east') == 'west'
    assert whole.get_data_region('', 'east') == 'east'
