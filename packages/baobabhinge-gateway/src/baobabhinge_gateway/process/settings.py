"""Settings of a gateway process: its identity and the addresses it uses."""

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

# Epochs are renewed each tenth of the key age, and whether one is due is
# checked once a second; a tenth has to be longer than that.
MIN_KEY_AGE = timedelta(seconds=20)
# Bindings of the Idempotency-Key header are stored for an hour, longer than
# any key can be used.
MAX_KEY_AGE = timedelta(minutes=15)


class ProcessSettingsError(GatewayError):
    """The process settings can't be read or have faults."""


class GatewayIdentity(msgspec.Struct, frozen=True):
    """The ``[process]`` section.

    Parameters
    ----------
    name : str
        Name of the vm.
    region, failure_domain : str
        Place of the vm.
    caller_address, peer_address : str
        ``host:port`` to listen at, for callers and for other gateways.
    seeds : str, optional
        ``host:port`` of gateways of the region, separated by commas. They are
        used to join the region while the list of vms can't be read.
    key_age : timedelta, optional
        How long a run-once key issued by this gateway can be used.
    """

    name: str
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    seeds: str = ''
    key_age: timedelta = DEFAULT_KEY_AGE

    def list_seeds(self) -> list[str]:
        """Return the addresses in ``seeds`` as a list."""
        return [seed.strip() for seed in self.seeds.split(',') if seed.strip()]


class PlatformAddresses(msgspec.Struct, frozen=True):
    """The ``[platform]`` section: URLs of the platform's services."""

    key_value: str
    vm_list: str
    client_directory: str


class ProcessSettings(msgspec.Struct, frozen=True):
    """All settings of a gateway process."""

    identity: GatewayIdentity
    platform: PlatformAddresses


def parse_key_age(text: str) -> timedelta:
    """Parse the key age, a duration of 20 seconds to 15 minutes.

    Raises
    ------
    FieldError
        If ``text`` is not a duration or is out of bounds.
    """
    age = parse_duration(text)
    if MIN_KEY_AGE <= age <= MAX_KEY_AGE:
        return age
    raise FieldError(
        FaultCode.out_of_range,
        f'key age "{text}" is out of range; allowed: 20 s to 15 min',
    )


PROCESS_SECTION = SectionSchema(
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
PLATFORM_SECTION = SectionSchema(
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
        If the file can't be read or has faults; the message lists each fault
        on a line of its own.
    """
    try:
        sections = read_settings_file(path, (PROCESS_SECTION, PLATFORM_SECTION))
    except SettingsError as error:
        raise ProcessSettingsError(str(error)) from error
    return ProcessSettings(
        GatewayIdentity(**sections[PROCESS_SECTION.name]),
        PlatformAddresses(**sections[PLATFORM_SECTION.name]),
    )
