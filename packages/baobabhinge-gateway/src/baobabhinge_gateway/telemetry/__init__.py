"""Logs, histograms and counters."""

from baobabhinge_gateway.telemetry.call_statistics import (
    CallStatistics as CallStatistics,
)
from baobabhinge_gateway.telemetry.logs import set_up_logs as set_up_logs
