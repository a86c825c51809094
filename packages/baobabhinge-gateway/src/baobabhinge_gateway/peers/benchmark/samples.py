"""Made-up gateways, vms and load reports."""

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
    """Return the region of the gateway or vm with this number."""
    place = number % REGIONS
    return f'region-{place}'


def build_member(number: int) -> Member:
    """Return a gateway of one of the regions in turn."""
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
    """Return a vm of one of the regions in turn, one in four a gateway."""
    region = build_region_name(number)
    role = Role.engine if number % VMS_PER_GATEWAY else Role.gateway
    name = f'{region}-{role.value}-{number}'
    return Vm(name, ADDRESS, region, f'{region}-a', role, 'llm')


def build_report(number: int) -> LoadReport:
    """Return the load of an engine that holds two versions."""
    models = frozenset(map(digest_name, MODELS))
    return LoadReport(number, number, number, False, timedelta(), models)


def encode_vms(vms: Iterable[Vm]) -> bytes:
    """Return the body of a list of ``vms`` as the platform sends it."""
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
