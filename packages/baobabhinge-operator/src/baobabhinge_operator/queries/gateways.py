"""Commands that query the gateways."""

import asyncio
from collections.abc import Iterable

import msgspec

from baobabhinge_operator.connections import fetch, fetch_from_any, render_json
from baobabhinge_operator.operator_settings import read_operator_settings
from baobabhinge_operator.queries.gateway_answers import (
    EntryGateway,
    EntryList,
    GatewayStatus,
)
from baobabhinge_operator.queries.status_lines import render_status

STATUS_PATH = '/v1/status'


async def entries(*, gateway: str | None = None, json: bool = False) -> str:
    """List the gateways that callers are to use now.

    Exit codes: 0 done, 2 wrong usage, 4 no gateway answers.

    Parameters
    ----------
    gateway
        ``host:port`` of a gateway to ask.
    json
        Write JSON.
    """
    listed = await _read_entries(gateway)
    if json:
        return render_json(listed)
    lines = [
        f'{entry.vm} {entry.region} {entry.address}' for entry in listed.entries
    ]
    return '\n'.join(lines)


async def status(*, gateway: str | None = None, json: bool = False) -> str:
    """Show each gateway with its generation, draining and leases.

    A gateway that is not listed for callers is queried too if its address is
    given, and else shown with the state that its neighbours report.

    Exit codes: 0 done, 2 wrong usage, 4 no gateway answers.

    Parameters
    ----------
    gateway
        ``host:port`` of a gateway to ask for the others.
    json
        Write JSON.
    """
    listed = await _read_entries(gateway)
    entry_statuses = await asyncio.gather(*map(_read_status, listed.entries))
    queried = [
        *entry_statuses,
        *await _read_remaining_statuses(gateway, listed),
    ]
    statuses = sorted([*queried, *_list_unqueried(queried)], key=_get_sort_key)
    if json:
        return render_json(statuses)
    return '\n'.join(map(render_status, statuses))


def _get_sort_key(gateway: GatewayStatus) -> tuple[str, str]:
    return (gateway.region, gateway.vm)


async def _read_entries(gateway: str | None) -> EntryList:
    addresses = read_operator_settings().list_gateways(gateway)
    body = await fetch_from_any(addresses, '/v1/entries')
    return msgspec.json.decode(body, type=EntryList)


async def _read_status(entry: EntryGateway) -> GatewayStatus:
    body = await fetch(entry.address, STATUS_PATH)
    if body is None:
        return GatewayStatus(entry.vm, entry.region, answers=False)
    return msgspec.json.decode(body, type=GatewayStatus)


async def _read_remaining_statuses(
    gateway: str | None,
    listed: EntryList,
) -> list[GatewayStatus]:
    entry_addresses = {entry.address for entry in listed.entries}
    given = read_operator_settings().list_gateways(gateway)
    bodies = [
        await fetch(address, STATUS_PATH)
        for address in given
        if address not in entry_addresses
    ]
    statuses = [
        msgspec.json.decode(body, type=GatewayStatus)
        for body in bodies
        if body is not None
    ]
    entry_names = {(entry.vm, entry.region) for entry in listed.entries}
    return [
        msgspec.structs.replace(status, is_entry=False)
        for status in statuses
        if (status.vm, status.region) not in entry_names
    ]


def _list_unqueried(queried: Iterable[GatewayStatus]) -> list[GatewayStatus]:
    reported = {
        (name, gateway.region): state
        for gateway in queried
        for name, state in gateway.gateways.items()
    }
    queried_names = {(gateway.vm, gateway.region) for gateway in queried}
    return [
        GatewayStatus(
            *key,
            gateways={key[0]: state},
            answers=False,
            is_entry=False,
        )
        for key, state in sorted(reported.items())
        if key not in queried_names
    ]
