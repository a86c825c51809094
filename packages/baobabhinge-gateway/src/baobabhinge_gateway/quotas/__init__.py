"""Quotas of workspaces over all gateways together."""
