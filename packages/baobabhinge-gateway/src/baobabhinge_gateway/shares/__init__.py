"""Fair shares of workspaces and routes while demand exceeds capacity."""
