"""Tests under injected faults: the real program, with its clock and its system calls in the test's hand."""
