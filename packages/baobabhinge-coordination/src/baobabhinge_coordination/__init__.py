"""Building blocks of coordination for programs that run as many peers.

The package holds pure decision logic. Clock, random numbers and transport are
passed in by the embedding program.
"""
