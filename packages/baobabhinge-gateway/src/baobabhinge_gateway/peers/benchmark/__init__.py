"""Measurements of what heartbeats cost.

Examples
--------
``python -m baobabhinge_gateway.peers.benchmark loopback --gateways 12`` runs
twelve gateways' heartbeats over HTTP on the loopback address.
``... protocol --regions 25 --gateways 128`` runs one whole region of a large
fleet on a manual clock, without sockets.
"""
