"""Clients of the platform's services, which use published formats."""
