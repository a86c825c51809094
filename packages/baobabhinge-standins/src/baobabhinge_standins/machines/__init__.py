"""Stand-ins of the VM list and of the client directory."""
