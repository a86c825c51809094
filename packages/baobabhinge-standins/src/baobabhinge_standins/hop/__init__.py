"""Cost of one hop: calls through a gateway against calls sent directly."""
