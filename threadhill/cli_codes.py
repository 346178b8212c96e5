"""Exit codes of the command line, as its help documents them."""

DONE = 0  # or nothing to do
ERROR = 1  # it is told on standard error
CHANGES = 2  # `plan`: there is something to do; elsewhere, words that can't be used
HALTED = 3  # an apply needs an operator, and stays open
CONFLICT = 4  # the state has moved on, or somebody else is applying
