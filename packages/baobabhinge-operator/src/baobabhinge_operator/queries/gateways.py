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
from baobabhinge_operator.reaching import fetch, fetch_first, render_json


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

    Exit codes: 0 done, 2 wrong usage, 4 no gateway answers.

    Parameters
    ----------
    gateway
        ``host:port`` of a gateway to ask for the others.
    json
        Write JSON.
    """
    listed = await _read_entries(gateway)
    statuses = await asyncio.gather(*map(_read_status, listed.entries))
    if json:
        return render_json(statuses)
    return '\n'.join(map(_render_status, statuses))


async def _read_entries(gateway: str | None) -> EntryList:
    addresses = read_addresses().list_gateways(gateway)
    body = await fetch_first(addresses, '/v1/entries')
    return msgspec.json.decode(body, type=EntryList)


async def _read_status(entry: Entry) -> GatewayStatus:
    body = await fetch(entry.address, '/v1/status')
    if body is None:
        return GatewayStatus(entry.vm, entry.region, answers=False)
    return msgspec.json.decode(body, type=GatewayStatus)


def _render_status(gateway: GatewayStatus) -> str:
    return ', '.join(_list_remarks(gateway))


def _list_remarks(gateway: GatewayStatus) -> Iterable[str]:
    yield f'{gateway.vm} {gateway.region}: generation {gateway.generation}'
    if not gateway.answers:
        yield 'does not answer'
    if gateway.draining:
        yield 'draining'
    if gateway.refused_generation:
        yield f'can not read generation {gateway.refused_generation}'
    yield from gateway.leases
