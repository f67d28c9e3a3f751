"""Fault injection tests with many real sidecar processes.

The rig breaks the links, clocks, disks and processes of a fleet by schedule, and checks invariants on what it
recorded itself. The package under test does not import the rig and has no switch for it.
"""
