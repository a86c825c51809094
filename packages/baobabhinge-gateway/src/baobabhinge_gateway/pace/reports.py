"""Encoding of what gateways tell each other of the speeds of servers."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_gateway.neighbours.sections import MAX_SECTION_BYTES
from baobabhinge_gateway.pace.figure_codes import (
    EncodedFigures,
    decode_figures,
    encode_figures,
)
from baobabhinge_gateway.pace.figures import Figures, ServiceFigures
from baobabhinge_gateway.pace.paces import Paces

MILLISECOND = timedelta(milliseconds=1)
# Paces are sent in hundredths.
HUNDRED = 100
# Part of the entries that is kept when a report is too long.
KEPT_FRACTION = 0.8

EncodedPaces = Mapping[str, tuple[int, int]]
Entries = Sequence[tuple[str, str, Figures]]


class EncodedReport(msgspec.Struct, array_like=True):
    """Report as it is sent.

    Parameters
    ----------
    figures : dict
        Figures by service and server, as whole numbers.
    paces : dict
        Paces in hundredths, and their ages in milliseconds, by server.
    """

    figures: Mapping[str, Mapping[str, EncodedFigures]] = {}
    paces: EncodedPaces = {}


decoder = msgspec.msgpack.Decoder(EncodedReport)


def encode_report(figures: ServiceFigures, paces: Paces) -> bytes:
    """Return a report of bounded length.

    Servers of which least is known are left out if it were too long.

    Parameters
    ----------
    figures : mapping
        Figures by service and server.
    paces : mapping
        Pace and age by server.
    """
    entries = _list_entries(figures)
    encoded = _encode(entries, paces)
    while len(encoded) > MAX_SECTION_BYTES and entries:
        entries = entries[: int(len(entries) * KEPT_FRACTION)]
        encoded = _encode(entries, paces)
    return encoded


def decode_report(payload: bytes) -> tuple[ServiceFigures, Paces]:
    """Return the figures and paces of a report, within bounds.

    Raises
    ------
    msgspec.DecodeError
        If the payload is no report.
    ValueError
        If the figures of a server are too few.
    """
    report = decoder.decode(payload)
    figures = {
        service: dict(
            zip(servers, map(decode_figures, servers.values()), strict=True)
        )
        for service, servers in report.figures.items()
    }
    return figures, _decode_paces(report.paces)


def _list_entries(figures: ServiceFigures) -> Entries:
    """Return all figures, those of which most is known first."""
    entries = [
        (service, *known)
        for service, servers in figures.items()
        for known in servers.items()
    ]
    return sorted(entries, key=lambda entry: entry[2].weight, reverse=True)


def _encode(entries: Entries, paces: Paces) -> bytes:
    figures: defaultdict[str, dict[str, EncodedFigures]] = defaultdict(dict)
    for service, server, known in entries:
        figures[service][server] = encode_figures(known)
    return msgspec.msgpack.encode(EncodedReport(figures, _encode_paces(paces)))


def _encode_paces(paces: Paces) -> EncodedPaces:
    return {
        server: (round(pace * HUNDRED), age // MILLISECOND)
        for server, (pace, age) in paces.items()
    }


def _decode_paces(paces: EncodedPaces) -> Paces:
    return {
        server: (pace / HUNDRED, age * MILLISECOND)
        for server, (pace, age) in paces.items()
    }
