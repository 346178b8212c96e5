"""Fault injection tests: the real program, with its clock and system calls controlled by the test."""
