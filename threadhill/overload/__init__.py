"""Overload control: sees retry storms, bounds what reaches the decision module, tells clients when to return.

Decisions without I/O; plugs into the core's `OverloadControl` port. Off unless the operator's file turns it on."""
