"""The command line, one file a command; logic that a user of the library would need does not belong here."""
