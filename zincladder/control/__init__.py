"""What operators ask of a running front: its status over TCP, commands over a unix socket."""
