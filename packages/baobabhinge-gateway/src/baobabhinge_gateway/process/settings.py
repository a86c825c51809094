"""Addresses, region and failure domain of one gateway process."""

import configparser
from pathlib import Path
from typing import TypeVar

import msgspec

from baobabhinge_gateway.errors import GatewayError

SectionT = TypeVar('SectionT', bound=msgspec.Struct)


class ProcessSettingsError(GatewayError):
    """The file of process settings can't be used."""


class Identity(msgspec.Struct, frozen=True):
    """The ``[process]`` section.

    Parameters
    ----------
    name : str
        Name of the vm.
    region, failure_domain : str
        Where the vm stands.
    caller_address, peer_address : str
        ``host:port`` for callers and for other gateways.
    seeds : str, optional
        ``host:port`` of gateways of the region, separated by commas; by them
        this one finds the others when the list of vms can't be read.
    """

    name: str
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    seeds: str = ''

    def list_seeds(self) -> list[str]:
        """Return the addresses of ``seeds`` one by one."""
        return [seed.strip() for seed in self.seeds.split(',') if seed.strip()]


class PlatformAddresses(msgspec.Struct, frozen=True):
    """The ``[platform]`` section: addresses of the platform's services."""

    key_value: str
    vm_list: str
    client_directory: str


class ProcessSettings(msgspec.Struct, frozen=True):
    """All settings of one gateway process."""

    identity: Identity
    platform: PlatformAddresses


def read_process_settings(path: Path) -> ProcessSettings:
    """Read the INI file at ``path``.

    Raises
    ------
    ProcessSettingsError
        If the file can't be read or a key is missing.
    """
    try:
        return _parse(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as bad:
        raise ProcessSettingsError(f'{path.name}: {bad}') from bad
    except (KeyError, configparser.Error) as incomplete:
        raise ProcessSettingsError(f'{path.name}: {incomplete}') from incomplete


def _parse(text: str) -> ProcessSettings:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    return ProcessSettings(
        _convert(parser, 'process', Identity),
        _convert(parser, 'platform', PlatformAddresses),
    )


def _convert(
    parser: configparser.ConfigParser,
    section: str,
    kind: type[SectionT],
) -> SectionT:
    rows = {
        key.replace('-', '_'): text for key, text in parser[section].items()
    }
    return msgspec.convert(rows, type=kind)
