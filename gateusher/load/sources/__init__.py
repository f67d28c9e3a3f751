"""Readers of what others have written: bytes of a file in, entries and faults out, one at a time in bounded memory.
What an entry means for us (its class, its client, its time of sending) does not belong here."""
