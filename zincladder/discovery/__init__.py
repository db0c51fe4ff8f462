"""What a front knows of the fleet from the coordinator, and whether that is current."""
