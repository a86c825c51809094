"""Logs, histograms and counters."""

from baobabhinge_gateway.telemetry.logs import set_up_logs as set_up_logs
from baobabhinge_gateway.telemetry.measures import Measures as Measures
