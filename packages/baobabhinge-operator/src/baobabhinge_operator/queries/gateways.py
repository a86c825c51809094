"""What the gateways say."""

import asyncio
from collections.abc import Iterable

import msgspec

from baobabhinge_operator.addresses import read_addresses
from baobabhinge_operator.queries.answers import (
    Entry,
    EntryList,
    GatewayStatus,
)
from baobabhinge_operator.queries.rendering import render_status
from baobabhinge_operator.reaching import fetch, fetch_first, render_json

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

    A gateway that callers are not told to use is asked too if its address is
    given, and else listed with the state that its neighbours know.

    Exit codes: 0 done, 2 wrong usage, 4 no gateway answers.

    Parameters
    ----------
    gateway
        ``host:port`` of a gateway to ask for the others.
    json
        Write JSON.
    """
    listed = await _read_entries(gateway)
    entered = await asyncio.gather(*map(_read_status, listed.entries))
    asked = [*entered, *await _ask_others(gateway, listed)]
    statuses = sorted([*asked, *_list_others(asked)], key=_get_place)
    if json:
        return render_json(statuses)
    return '\n'.join(map(render_status, statuses))


def _get_place(gateway: GatewayStatus) -> tuple[str, str]:
    return (gateway.region, gateway.vm)


async def _read_entries(gateway: str | None) -> EntryList:
    addresses = read_addresses().list_gateways(gateway)
    body = await fetch_first(addresses, '/v1/entries')
    return msgspec.json.decode(body, type=EntryList)


async def _read_status(entry: Entry) -> GatewayStatus:
    body = await fetch(entry.address, STATUS_PATH)
    if body is None:
        return GatewayStatus(entry.vm, entry.region, answers=False)
    return msgspec.json.decode(body, type=GatewayStatus)


async def _ask_others(
    gateway: str | None,
    listed: EntryList,
) -> list[GatewayStatus]:
    entered = {entry.address for entry in listed.entries}
    given = read_addresses().list_gateways(gateway)
    bodies = [
        await fetch(address, STATUS_PATH)
        for address in given
        if address not in entered
    ]
    statuses = [
        msgspec.json.decode(body, type=GatewayStatus)
        for body in bodies
        if body is not None
    ]
    names = {(entry.vm, entry.region) for entry in listed.entries}
    return [
        msgspec.structs.replace(status, is_entry=False)
        for status in statuses
        if (status.vm, status.region) not in names
    ]


def _list_others(entered: Iterable[GatewayStatus]) -> list[GatewayStatus]:
    known = {
        (name, gateway.region): state
        for gateway in entered
        for name, state in gateway.gateways.items()
    }
    listed = {(gateway.vm, gateway.region) for gateway in entered}
    return [
        GatewayStatus(
            *place,
            gateways={place[0]: state},
            answers=False,
            is_entry=False,
        )
        for place, state in sorted(known.items())
        if place not in listed
    ]
