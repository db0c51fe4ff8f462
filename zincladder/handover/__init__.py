"""Upgrades without a lost connection: the old process passes its listening socket to the new one."""
