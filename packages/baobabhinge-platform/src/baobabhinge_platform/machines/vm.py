"""Vm as listed by the platform."""

import enum

import msgspec


class Role(enum.StrEnum):
    """What runs on a vm."""

    gateway = 'gateway'
    engine = 'engine'
    application = 'application'


class VmState(enum.StrEnum):
    """Whether a vm is about to be removed."""

    live = 'live'
    leaving = 'leaving'


class Fencing(enum.StrEnum):
    """What a model engine does with outdated fencing numbers."""

    refuse = 'refuse'
    ignore = 'ignore'


class Vm(msgspec.Struct, frozen=True):
    """Vm in the platform's list.

    Parameters
    ----------
    name : str
        Name of the vm.
    address : str
        ``host:port`` at which its program listens.
    region, failure_domain : str
        Region and failure domain in which it runs.
    role : Role
        What runs on it.
    service : str
        Service that it runs; empty for gateways.
    state : VmState
        Whether it is about to be removed.
    caller_address : str
        ``host:port`` for callers; empty unless a gateway runs there.
    fencing : Fencing
        What a model engine on it does with outdated fencing numbers.
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
