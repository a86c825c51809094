"""Gateways that exchange state over slow links, in virtual time.

The gateways' own services run; the clock, the links and the store are
simulated, so that hundreds of gateways fit into one process and each play with
one seed is the same.

Run ``python -m baobabhinge_standins.exchange --help`` for its measurements.
"""
