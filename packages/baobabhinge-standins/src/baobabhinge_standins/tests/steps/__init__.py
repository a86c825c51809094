"""Steps that the scenarios of this folder share."""
