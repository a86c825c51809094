"""Forwarding of HTTP calls whose bodies the gateway does not interpret.

A call is read, placed on a backend server or a gateway of another region,
sent, and answered or refused.
"""
