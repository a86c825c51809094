"""Stand-in of the key-value service."""
