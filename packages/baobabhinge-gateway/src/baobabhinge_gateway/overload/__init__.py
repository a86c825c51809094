"""Limits of the gateway process itself: refusals while it is behind."""
