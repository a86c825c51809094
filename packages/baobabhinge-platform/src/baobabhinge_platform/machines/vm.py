"""One vm as the platform lists it."""

import enum

import msgspec


class Role(enum.StrEnum):
    """What runs on a vm."""

    gateway = 'gateway'
    engine = 'engine'
    application = 'application'


class VmState(enum.StrEnum):
    """Whether a vm stays."""

    live = 'live'
    leaving = 'leaving'


class Vm(msgspec.Struct, frozen=True):
    """One vm.

    Parameters
    ----------
    name : str
        Name of the vm.
    address : str
        ``host:port`` at which its program listens.
    region, failure_domain : str
        Where it stands.
    role : Role
        What runs on it.
    service : str
        Service that it serves; empty for gateways.
    state : VmState
        Whether it is leaving.
    caller_address : str
        ``host:port`` for callers; empty unless a gateway runs there.
    """

    name: str
    address: str
    region: str
    failure_domain: str
    role: Role
    service: str = ''
    state: VmState = VmState.live
    caller_address: str = ''
