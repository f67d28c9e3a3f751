"""Where the list of endpoints comes from, a module a source; nothing here chooses an endpoint for a request."""
