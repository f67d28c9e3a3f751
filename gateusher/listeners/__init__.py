"""HTTP listeners for clients and operators; nothing here chooses an endpoint or retries a request."""
