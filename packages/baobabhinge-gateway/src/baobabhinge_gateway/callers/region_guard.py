"""Refusal of calls that are bound to other regions."""

from collections.abc import Iterable

from aiohttp import web

from baobabhinge_gateway.calls import Call, headers
from baobabhinge_gateway.calls.arrivals import read_passed_gateways
from baobabhinge_gateway.calls.data_rules import find_data_origin, restrict_call
from baobabhinge_gateway.calls.model_names import parse_model_name
from baobabhinge_gateway.calls.region_binding import parse_regions
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.errors import WrongRegionError
from baobabhinge_gateway.errors.base import EntryHint
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_settings.model import ServiceKind, Settings


class RegionGuard:
    """Refuse calls whose data must not enter the region of this gateway.

    Parameters
    ----------
    fleet : FleetView
        Known vms, and the region of this gateway.
    active : ActiveConfiguration
        Configuration in force, with the data rules.
    """

    __slots__ = ('_active', '_fleet')

    def __init__(self, fleet: FleetView, active: ActiveConfiguration) -> None:
        """Store the collaborators."""
        self._fleet = fleet
        self._active = active

    def check_request(self, request: web.Request) -> None:
        """Check the headers of a request; its body stays unread.

        Raises
        ------
        WrongRegionError
            If the call is bound to other regions.
        """
        bound = parse_regions(request.headers.get(headers.REGION_BOUND))
        if bound is not None:
            self._require_local_region(bound)
        settings = self._active.require_settings()
        if settings.data_rules:
            self._check_rules(request, settings)

    def restrict(self, call: Call) -> Call:
        """Return ``call`` restricted to the regions that the rules allow.

        Raises
        ------
        WrongRegionError
            If the call is bound to other regions.
        """
        restricted = restrict_call(call, self._active.require_settings())
        if restricted.terms.regions is not None:
            self._require_local_region(restricted.terms.regions)
        return restricted

    def _check_rules(self, request: web.Request, settings: Settings) -> None:
        passed = read_passed_gateways(request)
        hops = passed.extend(self._fleet.own)
        workspace = request.headers.get(headers.WORKSPACE, '')
        for service in _list_candidate_services(request, settings):
            origin = find_data_origin(settings, service, workspace, hops)
            if origin.region == self._fleet.own.region:
                return
            self._require_local_region(settings.list_allowed_regions(origin))

    def _require_local_region(self, regions: frozenset[str]) -> None:
        if self._fleet.own.region in regions:
            return
        raise WrongRegionError(
            tuple(
                EntryHint(vm.name, vm.region, vm.caller_address)
                for vm in self._fleet.list_gateways()
                if vm.region in regions
            ),
        )


def _list_candidate_services(
    request: web.Request, settings: Settings
) -> Iterable[str]:
    """Return the services that a request may be for.

    The path or a header names the service; the model named in the body is
    not read yet, so that without either every model service is possible.
    """
    name = request.match_info.get('service')
    if name is None:
        name = request.headers.get(headers.SERVICE)
    if name is not None:
        return (parse_model_name(name).service,)
    return (
        service.name
        for service in settings.services.values()
        if service.kind is ServiceKind.model
    )
