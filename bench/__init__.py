"""Benchmarks.  Machines are noisy, so results are ratios within one run; docs/ holds the latest figures."""
