"""The decisions of the router: rules without I/O, each in a module of its own."""
