"""HAR files and access logs as load: read, mapped, planned and played to stand-ins.  What is read is never guessed at
and nothing of a source's credentials is kept; sending to anything but a proven stand-in does not belong here."""
