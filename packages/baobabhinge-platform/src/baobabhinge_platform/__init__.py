"""Adapters to the services of the platform, met by published formats."""
