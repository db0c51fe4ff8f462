"""Connects routers to the simulator: the codec of its protocol, and the loop that answers its frames."""
