"""Gate that refuses calls of callers above their share."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from baobabhinge_gateway.deployment import DeploymentConfiguration, Route
from baobabhinge_gateway.forwarding.call import Call, CallHead
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.failures import (
    DeclinedError,
    OverloadError,
)
from baobabhinge_gateway.forwarding.restricted_refusals import (
    ServersLimitedError,
)
from baobabhinge_gateway.shares.admission import ShareAdmission
from baobabhinge_gateway.shares.call_keys import build_key
from baobabhinge_gateway.shares.regional import RegionalWork
from baobabhinge_gateway.shares.section import ShareSection
from baobabhinge_gateway.shares.work import estimate_work

# Refusals that show that servers have no room for more.
FULL = (OverloadError, DeclinedError, ServersLimitedError)


class ShareGate:
    """Refuse calls above the share of their workspace or route.

    It has no effect without workspaces in the configuration.

    Parameters
    ----------
    admission : ShareAdmission
        Decides.
    configuration : DeploymentConfiguration
        Configuration in force.
    """

    __slots__ = ('_admission', '_configuration')

    def __init__(
        self,
        admission: ShareAdmission,
        configuration: DeploymentConfiguration,
    ) -> None:
        """Store the collaborators."""
        self._admission = admission
        self._configuration = configuration

    def check_head(self, head: CallHead, route: Route) -> None:
        """Refuse nothing before the body is read."""

    @asynccontextmanager
    async def admit(self, call: Call) -> AsyncIterator[None]:
        """Dispatch a call within its share.

        Raises
        ------
        ShareUsedUpError
            If it is above it; the call did not run.
        """
        # Servers have worked for a stream that its caller takes up.
        is_taken_up = call.head.last_event is not None
        if is_taken_up or not self._configuration.workspaces:
            yield
            return
        call.share = self._admission.open(build_key(call), estimate_work(call))
        try:
            yield
        except FULL:
            call.share.record_wait(1)
            raise
        call.share.record_placed()


def add_shares(core: GatewayCore) -> None:
    """Count and bound the calls of callers from now on."""
    work = RegionalWork(core.ingress.clock)
    admission = ShareAdmission(work, core.ingress.random)
    gate = ShareGate(admission, core.state.configuration)
    core.ingress.bounds.gates.add(gate)
    core.sections.register(ShareSection(work, core.settings.own.region))
