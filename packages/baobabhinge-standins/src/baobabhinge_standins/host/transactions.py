"""Conditions of changes in the stand-in of the store."""

from http import HTTPStatus
from typing import Any

from aiohttp import web

from baobabhinge_standins.host.table import StoreTable


def find_conflict(
    table: StoreTable, change: dict[str, Any]
) -> web.Response | None:
    """Return the answer to a change that can't be made, ``None`` if it can."""
    if any(row['lease'] in table.ended for row in change['writes']):
        return web.Response(status=HTTPStatus.NOT_FOUND)
    expected = change.get('expected-rev', [])
    found = [table.find(row['key']) for row in expected]
    known = [row.revision if row else 0 for row in found]
    if known == [row['revision'] for row in expected]:
        return None
    return web.json_response(
        {'items': [row.render() for row in found if row]},
        status=HTTPStatus.PRECONDITION_FAILED,
    )


def end_leases(table: StoreTable, prefix: str) -> None:
    """End the leases of all keys below ``prefix``, and remove these."""
    for row in table.list_rows(prefix):
        table.ended.add(row.lease)
        table.remove(row.key)
