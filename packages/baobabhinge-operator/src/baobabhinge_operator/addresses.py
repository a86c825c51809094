"""The operator's settings file: addresses, and who the author is."""

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
OPERATOR = SectionSchema(
    'operator',
    (
        Key('author', str, is_required=False),
        Key('key-value', parse_url, is_required=False),
        Key('vm-list', parse_url, is_required=False),
        Key('gateways', parse_addresses, is_required=False),
    ),
)


class Addresses(msgspec.Struct, frozen=True):
    """The ``[operator]`` section.

    Parameters
    ----------
    author : str
        Who publishes; the name of the login if it is not set.
    key_value : str
        Base URL of the key-value service.
    vm_list : str
        URL of the platform's list of vms, with its path.
    gateways : str
        ``host:port`` of some gateways, with commas between them.
    """

    author: str = ''
    key_value: str = ''
    vm_list: str = ''
    gateways: str = ''

    @property
    def publisher(self) -> str:
        """Return who publishes."""
        return self.author or getpass.getuser()

    def list_gateways(self, given: str | None) -> list[str]:
        """Return the gateways to ask, ``given`` ones before the written ones.

        Raises
        ------
        OperatorSettingsError
            If there are none, or one is not ``host:port``.
        """
        if given:
            _check('--gateway', given, parse_addresses)
        listed = (given or self.gateways).split(',')
        gateways = [address.strip() for address in listed if address.strip()]
        if gateways:
            return gateways
        raise OperatorSettingsError(
            'no gateway is named; give --gateway or the key "gateways"',
        )

    def choose_store(self, given: str | None) -> str:
        """Return the address of the key-value service.

        Raises
        ------
        OperatorSettingsError
            If there is none, or it is not the address of an HTTP service.
        """
        return _choose_url('key-value', given, self.key_value)

    def choose_vm_list(self, given: str | None) -> str:
        """Return the address of the list of vms.

        Raises
        ------
        OperatorSettingsError
            If there is none, or it is not the address of an HTTP service.
        """
        return _choose_url('vm-list', given, self.vm_list)


def read_addresses() -> Addresses:
    """Read the operator's settings file, if there is one.

    Raises
    ------
    OperatorSettingsError
        It names every fault of the file, one a line.
    """
    path = Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))
    if not path.exists():
        return Addresses()
    try:
        typed = read_settings_file(path, (OPERATOR,))
    except SettingsError as bad:
        raise OperatorSettingsError(str(bad)) from bad
    return Addresses(**typed[OPERATOR.name])


def _choose_url(key: str, given: str | None, written: str) -> str:
    if given:
        _check(f'--{key}', given, parse_url)
    address = given or written
    if address:
        return address
    raise OperatorSettingsError(
        f'no address is named; give --{key} or the key "{key}"',
    )


def _check(option: str, given: str, parse: Callable[[str], str]) -> None:
    try:
        parse(given)
    except FieldError as bad:
        raise OperatorSettingsError(f'{option}: {bad.message}') from bad
