"""Reads and checks the configuration of an installation.  Nothing here opens a socket or starts a task."""
