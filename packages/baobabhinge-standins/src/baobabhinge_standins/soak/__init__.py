"""Random faults two at a time, load meanwhile, and invariants at the end."""
