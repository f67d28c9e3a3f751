"""Connections to endpoints.  Contains no retries and no endpoint selection."""
