import pytest

from baobabhinge_coordination.membership import list_neighbours


@pytest.mark.parametrize('regions', [1, 2, 3, 25])
def test_each_region_is_a_neighbour_of_equally_many_regions(regions):
    names = [f'region-{number}' for number in range(regions)]
    neighbours = [
        neighbour
        for name in names
        for neighbour in list_neighbours(name, names, 2)
    ]
    expected = min(2, regions - 1)
    assert [neighbours.count(name) for name in names] == [
        expected for _ in names
    ]


@pytest.mark.parametrize('region', ['a', 'b', 'c'])
def test_no_region_is_its_own_neighbour(region):
    assert region not in list_neighbours(region, 'abc', 5)
