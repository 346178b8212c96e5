"""Exit codes of the command line, as its help documents them."""

DONE = 0  # or nothing to do
ERROR = 1  # printed on standard error
CHANGES = 2  # `plan`: there are changes; elsewhere, invalid arguments
HALTED = 3  # an apply stays open and needs an operator
CONFLICT = 4  # the state has changed, or another apply is running
