import pytest

from baobabhinge_coordination.membership import list_neighbours


@pytest.mark.parametrize('regions', [1, 2, 3, 25])
def test_each_region_is_told_by_as_many(regions):
    names = [f'region-{number}' for number in range(regions)]
    told = [
        neighbour
        for name in names
        for neighbour in list_neighbours(name, names, 2)
    ]
    expected = min(2, regions - 1)
    assert [told.count(name) for name in names] == [expected for _ in names]


@pytest.mark.parametrize('region', ['a', 'b', 'c'])
def test_no_region_tells_itself(region):
    assert region not in list_neighbours(region, 'abc', 5)
