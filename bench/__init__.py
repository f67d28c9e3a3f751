"""Measurements, as ratios within one run, since machines are noisy.  The last figures stand in docs/."""
