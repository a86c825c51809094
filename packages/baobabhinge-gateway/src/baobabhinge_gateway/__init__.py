"""The gateway daemon between callers and backend servers."""
