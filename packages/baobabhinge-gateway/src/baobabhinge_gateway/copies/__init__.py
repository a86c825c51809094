"""Second copies of slow calls that may be repeated (hedged requests)."""
