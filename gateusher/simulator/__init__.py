"""The adapter on the simulator's wire: it hosts the policy and decides nothing; no socket belongs here."""
