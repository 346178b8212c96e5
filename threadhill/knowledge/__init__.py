"""Load figures that the proxies of one installation share through the control plane's feed. Off unless the operator's
file enables it; does no I/O."""
