import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.generations import Release
from baobabhinge_gateway.callers import HealthReport
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import VmWatcher
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_platform.machines import Role, Vm

VMS = (Vm('g', '127.0.0.1:9', 'west', 'west-a', Role.gateway),)


@pytest.mark.parametrize(
    ('generation', 'vms', 'is_draining', 'expected'),
    [
        (1, VMS, False, (200, 'ready\n')),
        (0, VMS, False, (503, 'no configuration yet\n')),
        (1, (), False, (503, 'no list of vms yet\n')),
        (1, VMS, True, (503, 'draining\n')),
    ],
)
async def test_ready_only_with_configuration_and_vms_and_not_draining(
    generation,
    vms,
    is_draining,
    expected,
):
    active = ActiveConfiguration()
    active.adopt(Release(generation))
    lifecycle = Lifecycle(ManualClock())
    lifecycle.is_draining = is_draining
    watcher = VmWatcher(None)
    watcher.adopt(vms)
    report = HealthReport(active, lifecycle, watcher)
    answer = await report.report_readiness(None)
    assert (answer.status, answer.text) == expected
