"""A loop, a clock and a network in virtual time, for the explorer, virtual fleets and the lab; nothing here knows
what it carries, and the daemon never imports it."""
