"""The command line, with one module for each command.

Logic that users of the library need does not belong here.
"""
