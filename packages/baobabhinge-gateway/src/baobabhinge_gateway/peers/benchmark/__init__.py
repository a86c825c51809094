"""Benchmarks of the cost of heartbeats.

Examples
--------
``python -m baobabhinge_gateway.peers.benchmark loopback --gateways 12`` runs
the heartbeats of twelve gateways over HTTP on the loopback address.
``... protocol --regions 25 --gateways 128`` simulates one
region of a large fleet on a manual clock, without sockets.
"""
