from datetime import timedelta

import pytest

from baobabhinge_gateway.deployment import CallKind, Route, RouteTable, Split

LIMIT = timedelta(seconds=1)


def build_route(host, prefix):
    name = f'{host}{prefix}'
    splits = (Split('one', 1),)
    kind = CallKind.repeatable
    return Route(name, host, prefix, kind, splits, LIMIT, LIMIT)


TABLE = RouteTable(
    [
        build_route('a.example', '/'),
        build_route('a.example', '/x/'),
        build_route('a.example', '/x/y/'),
        build_route('b.example', '/x/'),
    ],
)


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('a.example', '/', 'a.example/'),
        ('a.example', '/x', 'a.example/'),
        ('a.example', '/x/', 'a.example/x/'),
        ('a.example', '/x/y', 'a.example/x/'),
        ('a.example', '/x/y/z', 'a.example/x/y/'),
        ('a.example', '/xx/y/z', 'a.example/'),
        ('A.EXAMPLE', '/x/1', 'a.example/x/'),
        ('b.example', '/x/1', 'b.example/x/'),
        ('b.example', '/1', None),
        ('c.example', '/x/', None),
        ('a.example', '*', None),
    ],
)
def test_a_path_gets_the_route_of_its_longest_prefix_on_the_host(
    host, path, name
):
    found = TABLE.find(host, path)
    assert (found and found.name) == name
