"""Messages between the processes of one installation."""
