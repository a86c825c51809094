"""Leases on keys of the key-value service, with fencing numbers."""

from baobabhinge_coordination.leases.client import LeaseClient as LeaseClient
from baobabhinge_coordination.leases.client import is_held as is_held
from baobabhinge_coordination.leases.lease import Lease as Lease
from baobabhinge_coordination.leases.lease import (
    LeaseNotHeldError as LeaseNotHeldError,
)
from baobabhinge_coordination.leases.lease import LeaseOptions as LeaseOptions
