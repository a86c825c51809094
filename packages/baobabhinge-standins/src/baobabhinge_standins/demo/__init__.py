"""The demo: one deployment under example load, and a table of outcomes."""
