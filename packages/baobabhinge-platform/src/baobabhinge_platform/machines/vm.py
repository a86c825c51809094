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


class Fencing(enum.StrEnum):
    """What an engine does with an order of an old lease holder."""

    refuse = 'refuse'
    ignore = 'ignore'


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
    fencing : Fencing
        What a model engine does with old fencing numbers.
    """

    name: str
    address: str
    region: str
    failure_domain: str
    role: Role
    service: str = ''
    state: VmState = VmState.live
    caller_address: str = ''
    fencing: Fencing = Fencing.ignore
