"""Made-up gateways, vms and load reports."""

import uuid
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from baobabhinge_coordination.membership import Member
from baobabhinge_gateway.fleet.models import digest_name
from baobabhinge_gateway.fleet.reports import LoadReport
from baobabhinge_platform.machines import Role, Vm

ADDRESS = '10.0.0.1:7000'
REGIONS = 25
MODELS = ('llm@v1', 'llm@v2')


def build_member(number: int) -> Member:
    """Return a gateway of one of the regions in turn."""
    place = number % REGIONS
    region = f'region-{place}'
    name = f'{region}-gateway-{number}'
    labels = {'failure_domain': f'{region}-a', 'caller_address': ADDRESS}
    return Member(
        name,
        region,
        uuid.uuid4().hex,
        number,
        address=ADDRESS,
        labels=labels,
    )


def build_vm(number: int) -> Vm:
    """Return a model engine of one of the regions in turn."""
    place = number % REGIONS
    region = f'region-{place}'
    name = f'{region}-engine-{number}'
    return Vm(name, ADDRESS, region, f'{region}-a', Role.engine, 'llm')


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
