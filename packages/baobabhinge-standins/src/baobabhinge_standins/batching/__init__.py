"""Model of batching engines under the placement decisions of gateways."""
