"""Where the list of endpoints comes from, a module a source; who gets a request is not decided here."""
