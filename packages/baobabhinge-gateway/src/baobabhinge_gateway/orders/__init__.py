"""Services that run on the gateway that holds the lease of its region."""

from baobabhinge_gateway.orders.assembly import DutyStack as DutyStack
