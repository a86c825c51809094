"""Duties of the one gateway that holds the lease of its region."""

from baobabhinge_gateway.orders.assembly import DutyStack as DutyStack
