"""The life of a request and its one final response; no socket, no clock and no client protocol belongs here."""
