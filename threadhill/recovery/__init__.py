"""Recovery after a start, a stall or a loss of state: the phases of a proxy, what it may send in each, what it learns,
and what it saves; and what a control plane that lost its state may adopt. Off unless the operator's file, or the
command, enables it."""
