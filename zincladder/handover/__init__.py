"""An upgrade: the old process hands its listening socket on, and the two share one front's limits."""
