"""Speeds and loads of backend servers, as they are learned and reported."""
