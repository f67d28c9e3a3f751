"""Storage errors that callers handle."""


class StorageError(OSError):
    """The folder can't be used, or no longer; the text says why.  The rejected call changed nothing in it."""


class LockedError(OSError):
    """Another process has locked the folder."""
