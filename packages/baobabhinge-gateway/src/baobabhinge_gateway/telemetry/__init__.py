"""Structured logs, and counters and latency histograms of calls."""

from baobabhinge_gateway.telemetry.call_statistics import (
    CallStatistics as CallStatistics,
)
from baobabhinge_gateway.telemetry.logs import set_up_logs as set_up_logs
