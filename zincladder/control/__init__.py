"""What operators ask of a running front, over a unix socket that their file names."""
