"""Bounds on connections of clients, and on what they make a process hold."""
