"""Overrides by later files, origins of keys, repeated merges, data rules."""

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
from baobabhinge_settings.tests.test_faults import VALID_TEXT

BASE = SourceFile('10.ini', VALID_TEXT)
PLACEMENT = '[placement llm west]\nreplicas = {count} vms\n'
COUNTS = st.integers(min_value=1, max_value=9)
NAMES = st.from_regex('[2-9][0-9]-[a-z]{1,3}', fullmatch=True)


def build_override(name, count):
    return SourceFile(f'{name}.ini', PLACEMENT.format(count=count))


def get_replicas(files):
    placements = merge_files(files).services['llm'].placements
    return [placement.replicas for placement in placements]


@given(st.dictionaries(NAMES, COUNTS, min_size=1), st.randoms())
def test_file_with_the_last_name_in_byte_order_overrides_others(counts, random):
    files = [BASE, *itertools.starmap(build_override, counts.items())]
    random.shuffle(files)
    assert get_replicas(files) == [counts[max(counts)]]


@given(st.lists(st.dictionaries(NAMES, COUNTS), max_size=6))
def test_repeated_merge_equals_a_first_merge(versions):
    merger = Merger()
    for counts in versions:
        files = [BASE, *itertools.starmap(build_override, counts.items())]
        assert merger.merge(files) == merge_files(files)


def test_explain_lists_the_effective_file_then_overridden_ones():
    files = [build_override('20', 2), BASE, build_override('30', 3)]
    origins = explain_key(files, 'placement llm west', 'replicas')
    assert [
        (origin.source, origin.line, origin.text) for origin in origins
    ] == [
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
def test_explain_of_unknown_key_lists_existing_sections_or_keys(
    section, key, listed
):
    with pytest.raises(UnknownSettingError, match=f'{listed}$'):
        explain_key([BASE], section, key)


DATA_RULES = """[workspace dealers]
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
def test_data_may_be_only_where_every_rule_allows(
    workspace, service, region, allowed
):
    north = '[region north]\nfailure-domains = a\n'
    placement = '[placement ledger north]\nreplicas = 1 vms\n'
    settings = merge_files(
        [BASE, SourceFile('20.ini', DATA_RULES + north + placement)]
    )
    origin = DataOrigin(service, workspace, region)
    assert settings.list_allowed_regions(origin) == allowed


def test_data_of_workspace_without_home_are_in_the_entry_region():
    settings = merge_files([BASE, SourceFile('20.ini', DATA_RULES)])
    assert settings.get_data_region('dealers', 'east') == 'west'
    assert settings.get_data_region('', 'east') == 'east'
