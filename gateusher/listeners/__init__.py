"""Protocols through which requests come in, a module each job; no endpoint is chosen and nothing is retried here."""
