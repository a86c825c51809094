"""Calls that are forwarded as they are: chosen, sent, answered, refused."""
