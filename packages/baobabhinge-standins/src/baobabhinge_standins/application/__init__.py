"""Stand-in of an application worker."""
