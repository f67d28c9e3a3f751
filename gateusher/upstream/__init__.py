"""Connections to endpoints, one module a protocol; nothing here retries or chooses an endpoint."""
