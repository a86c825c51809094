"""Access to the key-value service, the list of vms and gateways."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import aiohttp
import msgspec

from baobabhinge_coordination.generations import Release, ReleaseReader
from baobabhinge_operator.errors import (
    GatewayUnreachableError,
    NothingPublishedError,
    VmListUnreachableError,
)
from baobabhinge_operator.operator_settings import read_operator_settings
from baobabhinge_platform.machines import VmListClient, VmListError
from baobabhinge_platform.sessions import build_session
from baobabhinge_platform.store import ConsulStore, ConsulTransport

READ_TIMEOUT = timedelta(seconds=5)


@asynccontextmanager
async def open_store(given: str | None) -> AsyncIterator[ConsulStore]:
    """Yield a client of the key-value service.

    Parameters
    ----------
    given : str, optional
        URL to use in place of that in the settings file.
    """
    address = read_operator_settings().choose_store(given)
    async with build_session() as http:
        yield ConsulStore(ConsulTransport(http, address))


async def read_release(given: str | None) -> Release:
    """Return the release in force.

    Parameters
    ----------
    given : str, optional
        URL to use in place of that in the settings file.

    Raises
    ------
    NothingPublishedError
        If nothing has been published.
    """
    async with open_store(given) as store:
        release = await ReleaseReader(store).read_current()
    if release is None:
        raise NothingPublishedError('nothing is published yet')
    return release


async def read_vm_names(given: str | None) -> frozenset[str]:
    """Return the names of the vms in the platform's list.

    Parameters
    ----------
    given : str, optional
        URL to use in place of that in the settings file.

    Raises
    ------
    VmListUnreachableError
        If the list can't be read.
    """
    address = read_operator_settings().choose_vm_list(given)
    async with build_session() as http:
        try:
            vms = await VmListClient(http, address).read()
        except VmListError as error:
            raise VmListUnreachableError(
                f'nothing was changed; the list of vms at {address} can not'
                ' be read',
            ) from error
    return frozenset(vm.name for vm in vms)


async def fetch_from_any(addresses: list[str], path: str) -> bytes:
    """Query the gateways in turn and return the first body received.

    Raises
    ------
    GatewayUnreachableError
        If no gateway answers.
    """
    for address in addresses:
        body = await fetch(address, path)
        if body is not None:
            return body
    listed = ', '.join(addresses)
    raise GatewayUnreachableError(f'none of these gateways answers: {listed}')


async def fetch(address: str, path: str) -> bytes | None:
    """Return the body of a gateway's answer, ``None`` if there is none."""
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT.total_seconds())
    try:
        async with (
            build_session() as http,
            http.get(
                f'http://{address}{path}',
                raise_for_status=True,
                timeout=timeout,
            ) as response,
        ):
            return await response.read()
    except (aiohttp.ClientError, TimeoutError):
        return None


def render_json(report: object) -> str:
    """Return ``report`` as indented JSON."""
    encoded = msgspec.json.encode(report)
    return msgspec.json.format(encoded, indent=2).decode()
