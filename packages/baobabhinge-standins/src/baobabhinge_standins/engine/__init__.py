"""Stand-in of a batching model engine."""
