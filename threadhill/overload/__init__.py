"""Overload control: detects retry storms, limits what reaches the decision module, and tells refused clients when to
retry.

Decides without I/O and implements the core's `OverloadControl` port. Off unless the operator's file enables it."""
