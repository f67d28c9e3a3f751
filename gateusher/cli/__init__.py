"""The command line, one module a command; logic that a user of the library would need does not belong here."""
