"""Rehearsal with stand-ins alone: every endpoint must prove that it is a stand-in before the policy hears of it, and
again at intervals.  How requests are routed among endpoints doesn't belong here.
"""
