"""The decisions on the simulator's wire: its frames, and the loop that answers them."""
