"""Durable storage: a write-ahead log and a snapshot in a folder of their own.

No other package writes durable files.  The meaning of records and the reaction to disk errors are up to the owner.
"""
