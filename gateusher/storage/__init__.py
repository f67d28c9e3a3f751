"""Durable storage: the one package that writes a lasting disk, as a log and a snapshot in a folder of their own.

It decides nothing: what a record means, and what follows from a fault, is its owner's decision.
"""
