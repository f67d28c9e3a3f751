"""One module a protocol through which requests come in; no endpoint is chosen and nothing resent here."""
