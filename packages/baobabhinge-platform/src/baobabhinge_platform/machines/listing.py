"""Client of the platform's list of virtual machines.

References
----------
Prometheus HTTP service discovery: a JSON list of target groups, each with
``targets`` and ``labels``.
"""

import sys
from datetime import timedelta
from http import HTTPStatus

import aiohttp
import msgspec
import xxhash

from baobabhinge_platform.machines.vm import Fencing, Role, Vm, VmState

ETAG = 'ETag'
IF_NONE_MATCH = 'If-None-Match'
READ_TIMEOUT = timedelta(seconds=2)


class VmListError(Exception):
    """The list of vms could not be read."""


class _Labels(msgspec.Struct):
    vm: str
    region: str
    failure_domain: str
    role: Role
    service: str = ''
    state: VmState = VmState.live
    caller_address: str = ''
    fencing: Fencing = Fencing.ignore


class _TargetGroup(msgspec.Struct):
    targets: list[str]
    labels: _Labels


class VmListClient:
    """Client that reads the list of vms.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    address : str
        Address of the list, with its path.
    region : str, optional
        Region whose backend servers are kept; empty for all regions.
        Gateways of all regions are always kept.
    """

    __slots__ = ('_address', '_digest', '_etag', '_http', '_region', '_vms')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        address: str,
        region: str = '',
    ) -> None:
        """Store the session; no request is sent."""
        self._http = http
        self._address = address
        self._region = region
        self._digest = b''
        self._etag = ''
        self._vms: tuple[Vm, ...] = ()

    async def read(self) -> tuple[Vm, ...]:
        """Return the vms; the same tuple object while the list is unchanged.

        The entity tag of the last answer is sent along, so that the server
        need not send an unchanged list again.

        Raises
        ------
        VmListError
            If the list can't be reached or decoded, or has an error status.
        """
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT.total_seconds())
        headers = {IF_NONE_MATCH: self._etag} if self._etag else {}
        try:
            async with self._http.get(
                self._address,
                headers=headers,
                timeout=timeout,
            ) as answer:
                return self._read_answer(answer, await answer.read())
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.MsgspecError,
        ) as error:
            raise VmListError(str(error)) from error

    def _read_answer(
        self,
        answer: aiohttp.ClientResponse,
        body: bytes,
    ) -> tuple[Vm, ...]:
        if answer.status == HTTPStatus.NOT_MODIFIED:
            return self._vms
        if answer.status != HTTPStatus.OK:
            raise VmListError(
                f'the list of vms could not be read: status {answer.status}',
            )
        digest = xxhash.xxh3_128_digest(body)
        if digest != self._digest:
            self._vms = decode_vms(body, self._region)
            self._digest = digest
        self._etag = answer.headers.get(ETAG, '')
        return self._vms


def decode_vms(body: bytes, region: str = '') -> tuple[Vm, ...]:
    """Decode a list of vms.

    The names of regions, failure domains and services are interned, as many
    vms share them.

    Parameters
    ----------
    body : bytes
        The list as the platform sends it.
    region : str, optional
        Region whose backend servers are kept; empty for all regions.

    Raises
    ------
    msgspec.MsgspecError
        If the list is malformed.
    """
    groups = msgspec.json.decode(body, type=list[_TargetGroup])
    return tuple(
        _create_vm(address, group.labels)
        for group in groups
        if _is_wanted(group.labels, region)
        for address in group.targets
    )


def _is_wanted(labels: _Labels, region: str) -> bool:
    return labels.role is Role.gateway or not region or labels.region == region


def _create_vm(address: str, labels: _Labels) -> Vm:
    return Vm(
        name=labels.vm,
        address=address,
        region=sys.intern(labels.region),
        failure_domain=sys.intern(labels.failure_domain),
        role=labels.role,
        service=sys.intern(labels.service),
        state=labels.state,
        caller_address=labels.caller_address,
        fencing=labels.fencing,
    )
