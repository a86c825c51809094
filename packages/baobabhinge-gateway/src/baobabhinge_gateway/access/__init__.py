"""Access of callers: which workspace their keys belong to, and until when."""

from baobabhinge_gateway.access.call_access import CallAccess as CallAccess
from baobabhinge_gateway.access.call_access import (
    ForwardedAccess as ForwardedAccess,
)
from baobabhinge_gateway.access.control import AccessControl as AccessControl
