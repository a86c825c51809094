"""What must hold after a soak; importing a module registers its checks."""

from baobabhinge_standins.soak.invariants import calls as calls
from baobabhinge_standins.soak.invariants import gateways as gateways
from baobabhinge_standins.soak.invariants.registry import (
    find_violations as find_violations,
)
