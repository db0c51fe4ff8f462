"""The decisions of one router, without I/O: a module for each rule, and the types of events and actions."""
