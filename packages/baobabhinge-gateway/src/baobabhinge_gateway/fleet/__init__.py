"""Vms known to this gateway, their availability and their load."""

from baobabhinge_gateway.fleet.heartbeat import LoadReportPart as LoadReportPart
from baobabhinge_gateway.fleet.polling import LoadPoller as LoadPoller
from baobabhinge_gateway.fleet.rendezvous import pick_owners as pick_owners
from baobabhinge_gateway.fleet.reports import LoadReport as LoadReport
from baobabhinge_gateway.fleet.reports import LoadReports as LoadReports
from baobabhinge_gateway.fleet.service import FleetService as FleetService
from baobabhinge_gateway.fleet.view import FleetView as FleetView
from baobabhinge_gateway.fleet.watcher import VmWatcher as VmWatcher
