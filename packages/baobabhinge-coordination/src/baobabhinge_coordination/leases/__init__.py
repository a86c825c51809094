"""Leases on keys of the key-value service, and their fencing numbers."""

from baobabhinge_coordination.leases.keeper import LeaseKeeper as LeaseKeeper
from baobabhinge_coordination.leases.keeper import is_held as is_held
from baobabhinge_coordination.leases.messages import Lease as Lease
from baobabhinge_coordination.leases.messages import (
    LeaseLapsedError as LeaseLapsedError,
)
from baobabhinge_coordination.leases.messages import LeaseTerms as LeaseTerms
