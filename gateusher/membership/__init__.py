"""Who else of the fleet is there: a pure machine, its words on the wire, a small UDP part, and one port for words of
others; nothing that decides who gets a request belongs here, nor anything that needs a list of endpoints."""
