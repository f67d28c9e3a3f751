"""Errors of storage that its users handle."""


class StorageError(OSError):
    """The folder can't be used, or not any more; the text says why.  The refusal changed nothing in it."""


class LockedError(OSError):
    """Another process uses the folder."""
