"""Parsers of numbers with units."""

import re
from collections.abc import Callable, Mapping
from datetime import timedelta
from decimal import Decimal

from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import FieldError
from baobabhinge_settings.schema.names import check_ascii

NUMBER = re.compile(r'\d{1,9}(\.\d{1,6})?')
SHARE = re.compile(r'0(\.\d{1,6})?|1')
WHOLE_NUMBER = re.compile(r'\d{1,9}')
MIN_DURATION_MS = 1
MAX_DURATION_MS = 86_400_000
MILLISECONDS_BY_UNIT = {
    'ms': 1,
    's': 1000,
    'min': 60_000,
    'h': 3_600_000,
}
BITS_BY_UNIT = {
    'kbit/s': 1000,
    'Mbit/s': 1_000_000,
    'Gbit/s': 1_000_000_000,
}


def parse_duration(text: str) -> timedelta:
    """Return the duration written as a text such as ``30 s``.

    Raises
    ------
    FieldError
        If it is not a number with a unit of time, from 1 ms to 24 h.
    """
    number, unit = _split_unit(text, MILLISECONDS_BY_UNIT)
    milliseconds = float(number * MILLISECONDS_BY_UNIT[unit])
    if MIN_DURATION_MS <= milliseconds <= MAX_DURATION_MS:
        return timedelta(milliseconds=milliseconds)
    raise FieldError(
        FaultCode.out_of_range,
        f'"{text}" is too short or too long; allowed: 1 ms to 24 h',
    )


def parse_bandwidth(text: str) -> int:
    """Return the bits per second of a text such as ``70 Mbit/s``.

    Raises
    ------
    FieldError
        If it is not a number above 0 with a unit of bandwidth.
    """
    number, unit = _split_unit(text, BITS_BY_UNIT)
    bits = int(number * BITS_BY_UNIT[unit])
    if not bits:
        raise FieldError(
            FaultCode.out_of_range,
            'the bandwidth is too low; allowed: 1 bit/s or more',
        )
    return bits


def parse_share(text: str) -> float:
    """Return the share written as a number from 0 to 1, such as ``0.02``.

    Raises
    ------
    FieldError
        If it is none.
    """
    check_ascii(text)
    if SHARE.fullmatch(text):
        return float(text)
    raise FieldError(
        FaultCode.out_of_range,
        f'"{text}" is not allowed; allowed: 0 to 1, such as 0.02',
    )


def create_count_parser(unit: str, lowest: int = 0) -> Callable[[str], int]:
    """Return a parser of whole numbers with the unit ``unit``.

    Parameters
    ----------
    unit : str
        Unit as written in files.
    lowest : int
        Smallest number that is allowed.
    """

    def parse_count(text: str) -> int:
        number, _ = _split_unit(text, {unit: 1}, WHOLE_NUMBER)
        if number < lowest:
            raise FieldError(
                FaultCode.out_of_range,
                f'"{text}" is too small; allowed: {lowest} {unit} or more',
            )
        return int(number)

    return parse_count


def _split_unit(
    text: str,
    units: Mapping[str, int],
    pattern: re.Pattern[str] = NUMBER,
) -> tuple[Decimal, str]:
    check_ascii(text)
    number, _, unit = text.partition(' ')
    _check_number(number, pattern)
    allowed = ', '.join(units)
    if not unit:
        raise FieldError(
            FaultCode.number_without_unit,
            f'"{text}" has no unit; write a space, then one of: {allowed}',
        )
    if unit not in units:
        raise FieldError(
            FaultCode.wrong_unit,
            f'"{unit}" is not a unit here; allowed: {allowed}',
        )
    return Decimal(number), unit


def _check_number(number: str, pattern: re.Pattern[str]) -> None:
    if ',' in number:
        raise FieldError(
            FaultCode.decimal_comma,
            f'"{number}" has a comma; write 2.5 for two and a half and 1000'
            ' for one thousand',
        )
    if pattern.fullmatch(number) is None:
        allowed = _describe_pattern(pattern)
        raise FieldError(
            FaultCode.bad_number,
            f'"{number}" is not a number; allowed: {allowed}, then a space'
            ' and the unit',
        )


def _describe_pattern(pattern: re.Pattern[str]) -> str:
    if pattern is WHOLE_NUMBER:
        return 'up to 9 digits'
    return 'up to 9 digits, and a "." with up to 6 digits after it'
