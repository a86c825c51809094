"""Figures of a benchmark."""

import sys
from datetime import timedelta

import msgspec

MICROSECONDS = 1_000_000
PERCENT = 100


class Cost(msgspec.Struct):
    """Cost of heartbeats, summed over some gateways.

    Parameters
    ----------
    exchanges : int
        Heartbeats that were answered.
    wire_bytes : int
        Bytes of heartbeats and of their answers.
    processor : float
        Processor time, in seconds.
    """

    exchanges: int = 0
    wire_bytes: int = 0
    processor: float = 0


class Figures(msgspec.Struct, frozen=True):
    """Cost of heartbeats for one gateway.

    Parameters
    ----------
    gateways : int
        Gateways that were measured.
    known : int
        Gateways known to each of them, itself included.
    exchanges_per_second : float
        Exchanges in which it took part, as sender or receiver.
    bytes_per_second : float
        Bytes sent and received.
    processor_percent : float
        Processor time in percent of one core.
    bytes_per_exchange : float
        Bytes of a heartbeat and its answer.
    microseconds_per_exchange : float
        Processor time of both gateways.
    """

    gateways: int
    known: int
    exchanges_per_second: float
    bytes_per_second: float
    processor_percent: float
    bytes_per_exchange: float
    microseconds_per_exchange: float


def compute_figures(
    cost: Cost,
    gateways: int,
    known: int,
    elapsed: timedelta,
) -> Figures:
    """Return the cost of one gateway; each exchange counts at two gateways."""
    gateway_seconds = gateways * elapsed.total_seconds()
    exchanges = max(1, cost.exchanges)
    return Figures(
        gateways=gateways,
        known=known,
        exchanges_per_second=2 * cost.exchanges / gateway_seconds,
        bytes_per_second=2 * cost.wire_bytes / gateway_seconds,
        processor_percent=PERCENT * cost.processor / gateway_seconds,
        bytes_per_exchange=cost.wire_bytes / exchanges,
        microseconds_per_exchange=MICROSECONDS * cost.processor / exchanges,
    )


def print_figures(figures: msgspec.Struct) -> None:
    """Print the figures as one line of JSON."""
    line = msgspec.json.encode(figures).decode()
    sys.stdout.write(f'{line}\n')
