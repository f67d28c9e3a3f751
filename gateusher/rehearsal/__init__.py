"""Rehearsal mode, in which requests go to stand-ins only.

Each endpoint must prove that it is a stand-in before it is published to the policy, and again at intervals.  Routing
of requests among endpoints does not belong here.
"""
