"""Parsers of HAR files and access logs: they stream a file's bytes into entries and faults in bounded memory.

Mapping an entry to its class, its client and its sending time does not belong here.
"""
