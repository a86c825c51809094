"""Stand-in of the weight store."""
