"""Drills: a scenario file of faults, played on real processes of this program on loopback."""
