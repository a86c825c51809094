"""Addresses, region and failure domain of one gateway process."""

from datetime import timedelta
from pathlib import Path

import msgspec

from baobabhinge_coordination.runonce import DEFAULT_KEY_AGE
from baobabhinge_gateway.errors import GatewayError
from baobabhinge_settings import (
    Key,
    SectionSchema,
    SettingsError,
    read_settings_file,
)
from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import FieldError
from baobabhinge_settings.schema.addresses import (
    parse_address,
    parse_addresses,
    parse_url,
)
from baobabhinge_settings.schema.names import parse_name
from baobabhinge_settings.schema.numbers import parse_duration

# Epochs are renewed each tenth of the age, and looked at each second.
SHORTEST_KEY_AGE = timedelta(seconds=20)
# Bindings of Idempotency-Keys are kept for an hour.
LONGEST_KEY_AGE = timedelta(minutes=15)


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
    key_age : timedelta, optional
        How long run-once keys that it makes can be used.
    """

    name: str
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    seeds: str = ''
    key_age: timedelta = DEFAULT_KEY_AGE

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


def parse_key_age(text: str) -> timedelta:
    """Return how long a run-once key can be used.

    Raises
    ------
    FieldError
        If it is not a duration, or too short or too long.
    """
    age = parse_duration(text)
    if SHORTEST_KEY_AGE <= age <= LONGEST_KEY_AGE:
        return age
    raise FieldError(
        FaultCode.out_of_range,
        f'"{text}" is too short or too long; allowed: 20 s to 15 min',
    )


PROCESS = SectionSchema(
    'process',
    (
        Key('name', parse_name),
        Key('region', parse_name),
        Key('failure-domain', parse_name),
        Key('caller-address', parse_address),
        Key('peer-address', parse_address),
        Key('seeds', parse_addresses, is_required=False),
        Key('key-age', parse_key_age, is_required=False),
    ),
)
PLATFORM = SectionSchema(
    'platform',
    (
        Key('key-value', parse_url),
        Key('vm-list', parse_url),
        Key('client-directory', parse_url),
    ),
)


def read_process_settings(path: Path) -> ProcessSettings:
    """Read the INI file at ``path``.

    Raises
    ------
    ProcessSettingsError
        It names every fault of the file, one a line.
    """
    try:
        typed = read_settings_file(path, (PROCESS, PLATFORM))
    except SettingsError as bad:
        raise ProcessSettingsError(str(bad)) from bad
    return ProcessSettings(
        Identity(**typed[PROCESS.name]),
        PlatformAddresses(**typed[PLATFORM.name]),
    )
