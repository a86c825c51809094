"""Quotas of the configuration in force, as far as they concern one region."""

from collections.abc import Mapping

from baobabhinge_gateway.deployment import DeploymentConfiguration, Revision
from baobabhinge_gateway.quotas.policy import (
    QuotaPolicy,
    RegionQuota,
    divide_quota,
)


class QuotaTable:
    """Part of a region in the quotas of all workspaces.

    Parameters
    ----------
    configuration : DeploymentConfiguration
        Configuration in force.
    policy : QuotaPolicy
        Tolerance of all quotas.
    regions : int
        Number of regions of the deployment.
    """

    __slots__ = (
        '_configuration',
        '_policy',
        '_quotas',
        '_regions',
        '_revision',
    )

    def __init__(
        self,
        configuration: DeploymentConfiguration,
        policy: QuotaPolicy,
        regions: int,
    ) -> None:
        """Start without quotas."""
        self._configuration = configuration
        self._policy = policy
        self._regions = regions
        self._revision: Revision | None = None
        self._quotas: Mapping[str, RegionQuota] = {}

    def read(self) -> Mapping[str, RegionQuota]:
        """Return the parts of the region by the name of the workspace."""
        revision = self._configuration.revision
        if revision is not self._revision:
            self._revision = revision
            workspaces = () if revision is None else revision.workspaces
            self._quotas = {
                workspace.name: divide_quota(
                    workspace.quota, self._policy, self._regions
                )
                for workspace in workspaces
                if workspace.quota is not None
            }
        return self._quotas
