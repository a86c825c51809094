"""Sample gateways, vms and load reports."""

import uuid
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from baobabhinge_coordination.membership import Member
from baobabhinge_gateway.fleet.digests import digest_name
from baobabhinge_gateway.fleet.reports import LoadReport
from baobabhinge_platform.machines import Role, Vm

ADDRESS = '10.0.0.1:7000'
REGIONS = 25
VMS_PER_GATEWAY = 4
MODELS = ('llm@v1', 'llm@v2')


def build_region_name(number: int) -> str:
    """Return the name of the region of gateway or vm ``number``."""
    index = number % REGIONS
    return f'region-{index}'


def build_member(number: int) -> Member:
    """Return gateway ``number``; the regions take turns."""
    region = build_region_name(number)
    labels = {'failure_domain': f'{region}-a', 'caller_address': ADDRESS}
    return Member(
        f'{region}-gateway-{number}',
        region,
        uuid.uuid4().hex,
        number,
        address=ADDRESS,
        labels=labels,
    )


def build_vm(number: int) -> Vm:
    """Return vm ``number``; regions take turns, one in four is a gateway."""
    region = build_region_name(number)
    role = Role.engine if number % VMS_PER_GATEWAY else Role.gateway
    name = f'{region}-{role.value}-{number}'
    return Vm(name, ADDRESS, region, f'{region}-a', role, 'llm')


def build_report(number: int) -> LoadReport:
    """Return the load of an engine with two loaded versions."""
    models = frozenset(map(digest_name, MODELS))
    return LoadReport(number, number, number, False, timedelta(), models)


def encode_vms(vms: Iterable[Vm]) -> bytes:
    """Return ``vms`` encoded as the platform sends its list."""
    return msgspec.json.encode(
        [
            {
                'targets': [vm.address],
                'labels': {
                    'vm': vm.name,
                    'region': vm.region,
                    'failure_domain': vm.failure_domain,
                    'role': vm.role,
                    'service': vm.service,
                },
            }
            for vm in vms
        ]
    )
