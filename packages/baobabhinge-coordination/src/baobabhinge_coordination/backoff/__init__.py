"""Delays between attempts, so that many callers do not retry at once."""

from baobabhinge_coordination.backoff.delays import Backoff as Backoff
