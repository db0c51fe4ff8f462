"""Work on behalf of the fleet: one owner at a time, and fences against an owner that wakes up late."""
