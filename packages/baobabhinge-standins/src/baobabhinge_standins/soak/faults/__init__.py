"""Faults by name; importing a module registers its faults."""

from baobabhinge_standins.soak.faults import backends as backends
from baobabhinge_standins.soak.faults import gateways as gateways
from baobabhinge_standins.soak.faults import network as network
from baobabhinge_standins.soak.faults import prompts as prompts
from baobabhinge_standins.soak.faults import store as store
from baobabhinge_standins.soak.faults.registry import FAULTS as FAULTS
from baobabhinge_standins.soak.faults.registry import list_kinds as list_kinds
