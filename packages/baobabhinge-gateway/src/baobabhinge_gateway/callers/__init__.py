"""The HTTP interface towards callers."""

from baobabhinge_gateway.callers.entries import EntryReport as EntryReport
from baobabhinge_gateway.callers.status import StatusReport as StatusReport
