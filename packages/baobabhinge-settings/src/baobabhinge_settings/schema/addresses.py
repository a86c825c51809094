"""Parsers of the addresses of processes and services."""

import re

from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import FieldError

HOST_AND_PORT = re.compile(r'([A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})')
URL = re.compile('https?://[A-Za-z0-9[][!-~]*')
MAX_PORT = 65535


def parse_address(text: str) -> str:
    """Return ``text`` if it is ``host:port``.

    Raises
    ------
    FieldError
        If it is not, or if the port is not from 1 to 65535.
    """
    match = HOST_AND_PORT.fullmatch(text)
    if match and 1 <= int(match[2]) <= MAX_PORT:
        return text
    raise FieldError(
        FaultCode.bad_address,
        f'{text!a} is not an address; allowed: a host, ":" and a port'
        f' from 1 to {MAX_PORT}, such as 10.0.0.5:7080',
    )


def parse_addresses(text: str) -> str:
    """Return ``text`` if it is a list such as ``10.0.0.5:1, 10.0.0.6:1``.

    Raises
    ------
    FieldError
        If an address is not ``host:port``.
    """
    addresses = [parse_address(part.strip()) for part in text.split(',')]
    return ', '.join(addresses)


def parse_url(text: str) -> str:
    """Return ``text`` if it is the URL of an HTTP service.

    Raises
    ------
    FieldError
        If it does not start with ``http://`` or ``https://`` and a host.
    """
    if URL.fullmatch(text):
        return text
    raise FieldError(
        FaultCode.bad_address,
        f'{text!a} is not an address; allowed: http:// or https://, then'
        ' the host, such as http://10.0.0.9:8500',
    )
