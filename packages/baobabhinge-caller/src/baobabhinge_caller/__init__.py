"""Async library for programs that call the gateway."""
