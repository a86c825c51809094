"""Pauses between attempts, so that many callers do not come back at once."""

from baobabhinge_coordination.backoff.delays import Backoff as Backoff
