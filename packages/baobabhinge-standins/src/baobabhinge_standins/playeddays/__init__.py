"""Days that the users' bench has played, read from the journal."""
