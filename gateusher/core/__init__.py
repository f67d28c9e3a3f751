"""One request's life and its one final answer; no socket, no clock and no client's syntax belongs here."""
