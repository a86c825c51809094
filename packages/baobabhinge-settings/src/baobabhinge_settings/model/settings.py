"""The merged settings of a folder."""

from collections.abc import Mapping
from datetime import timedelta

import msgspec

from baobabhinge_settings.model.regions import Link, Region
from baobabhinge_settings.model.rules import (
    DataOrigin,
    DataRule,
    Limit,
    Objective,
    Workspace,
)
from baobabhinge_settings.model.scopes import ScopeIndex
from baobabhinge_settings.model.service import Service

DEFAULT_OBJECTIVE = Objective('default')


class Settings(msgspec.Struct, frozen=True):
    """Typed settings of the operators' folder.

    Parameters
    ----------
    regions, services, workspaces : mapping
        Regions, services and workspaces by name.
    links, objectives : tuple
        Links and objectives in the order of the files.
    data_rules, limits : ScopeIndex
        Rules and limits, indexed by service and workspace.
    policy : str, optional
        Routing policy of the deployment; ``None`` for the default policy.
    drained : frozenset of str
        Names of the vms that operators drain.
    """

    regions: Mapping[str, Region]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace] = {}
    links: tuple[Link, ...] = ()
    data_rules: ScopeIndex[DataRule] = ScopeIndex()
    limits: ScopeIndex[Limit] = ScopeIndex()
    objectives: tuple[Objective, ...] = ()
    policy: str | None = None
    drained: frozenset[str] = frozenset()

    def find_service(self, name: str) -> Service | None:
        """Return the service called ``name``, if there is one."""
        return self.services.get(name)

    def find_link(self, one: str, other: str) -> Link | None:
        """Return the link between two regions, if one is configured."""
        matching = (link for link in self.links if link.connects(one, other))
        return next(matching, None)

    def list_latencies(self, region: str) -> dict[str, timedelta]:
        """Return the one-way latencies of the configured links of ``region``.

        The keys are the names of the regions at the other ends.
        """
        ends = ((link.find_other_end(region), link) for link in self.links)
        return {other: link.latency for other, link in ends if other}

    def find_objective(self, service: str) -> Objective:
        """Return the objective of ``service``, else that of all services."""
        by_service = {entry.service: entry for entry in self.objectives}
        for_all_services = by_service.get(None, DEFAULT_OBJECTIVE)
        return by_service.get(service, for_all_services)

    def get_data_region(self, workspace: str, entry_region: str) -> str:
        """Return the region in which the data of a call are stored.

        Parameters
        ----------
        workspace : str
            Workspace of the caller; empty when there is none.
        entry_region : str
            Region of the first gateway of the call. It counts as the region of
            the data when the workspace has no home.
        """
        configured = self.workspaces.get(workspace)
        return (configured and configured.home) or entry_region

    def list_allowed_regions(self, origin: DataOrigin) -> frozenset[str]:
        """Return the regions in which every rule allows the data."""
        rules = [
            rule
            for rule in self.data_rules.find(origin.service, origin.workspace)
            if rule.region == origin.region
        ]
        return frozenset(
            region
            for region in self.regions
            if all(rule.allows(region) for rule in rules)
        )

    def is_drained(self, vm: str) -> bool:
        """Return whether operators drain ``vm``."""
        return vm in self.drained
