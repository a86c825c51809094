"""Settings file of the operators' commands: addresses and author."""

import getpass
import os
from collections.abc import Callable
from pathlib import Path

import msgspec

from baobabhinge_operator.errors import OperatorSettingsError
from baobabhinge_settings import (
    Key,
    SectionSchema,
    SettingsError,
    read_settings_file,
)
from baobabhinge_settings.errors import FieldError
from baobabhinge_settings.schema.addresses import parse_addresses, parse_url

PATH_VARIABLE = 'BAOBABHINGE_SETTINGS'
DEFAULT_PATH = 'baobabhinge.ini'
OPERATOR_SECTION = SectionSchema(
    'operator',
    (
        Key('author', str, is_required=False),
        Key('key-value', parse_url, is_required=False),
        Key('vm-list', parse_url, is_required=False),
        Key('gateways', parse_addresses, is_required=False),
    ),
)


class OperatorSettings(msgspec.Struct, frozen=True):
    """Keys of the ``[operator]`` section.

    Parameters
    ----------
    author : str
        Author of publications; empty for the login name.
    key_value : str
        Base URL of the key-value service.
    vm_list : str
        URL of the platform's list of vms, including the path.
    gateways : str
        Comma-separated ``host:port`` of some gateways.
    """

    author: str = ''
    key_value: str = ''
    vm_list: str = ''
    gateways: str = ''

    @property
    def publisher(self) -> str:
        """Return the author of publications."""
        return self.author or getpass.getuser()

    def list_gateways(self, given: str | None) -> list[str]:
        """Return the gateways to query: ``given``, else those of the settings.

        Raises
        ------
        OperatorSettingsError
            If there is none, or a given one is not ``host:port``.
        """
        if given:
            _check_option('--gateway', given, parse_addresses)
        listed = (given or self.gateways).split(',')
        gateways = [address.strip() for address in listed if address.strip()]
        if gateways:
            return gateways
        raise OperatorSettingsError(
            'no gateway is configured; give --gateway or the key "gateways"',
        )

    def choose_store(self, given: str | None) -> str:
        """Return the URL of the key-value service.

        Raises
        ------
        OperatorSettingsError
            If there is none, or the given one is not an HTTP URL.
        """
        return _choose_url('key-value', given, self.key_value)

    def choose_vm_list(self, given: str | None) -> str:
        """Return the URL of the list of vms.

        Raises
        ------
        OperatorSettingsError
            If there is none, or the given one is not an HTTP URL.
        """
        return _choose_url('vm-list', given, self.vm_list)


def read_operator_settings() -> OperatorSettings:
    """Read the operator's settings file; use the defaults if it is absent.

    Raises
    ------
    OperatorSettingsError
        If the file has faults; the message lists them, one per line.
    """
    path = Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))
    if not path.exists():
        return OperatorSettings()
    try:
        typed = read_settings_file(path, (OPERATOR_SECTION,))
    except SettingsError as error:
        raise OperatorSettingsError(str(error)) from error
    return OperatorSettings(**typed[OPERATOR_SECTION.name])


def _choose_url(key: str, given: str | None, configured: str) -> str:
    if given:
        _check_option(f'--{key}', given, parse_url)
    address = given or configured
    if address:
        return address
    raise OperatorSettingsError(
        f'no address is configured; give --{key} or the key "{key}"',
    )


def _check_option(option: str, given: str, parse: Callable[[str], str]) -> None:
    try:
        parse(given)
    except FieldError as error:
        raise OperatorSettingsError(f'{option}: {error.message}') from error
