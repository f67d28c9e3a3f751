"""Connections to endpoints, a module a protocol; nothing here sends anything a second time."""
