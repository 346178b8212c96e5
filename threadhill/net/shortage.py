"""Errors of system calls that tell of this machine and not of a peer."""

from __future__ import annotations

import errno

# The process or the machine is short of descriptors, memory or ports, or its own rules forbid the call.
OWN_SHORTAGE = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EPERM,
        errno.EACCES,
    }
)
# What accept(2) passes on of a connection that ended while it waited: the next one may be taken at once.
ACCEPT_NEXT = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
        errno.EPERM,
    }
)

# What may keep a file from being read for a while, with nothing wrong about the file.
READ_AGAIN = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.EINTR, errno.EAGAIN})
START_PATIENCE = 8.0  # seconds for which a start waits for such a shortage to pass


def is_own_shortage(error: OSError) -> bool:
    """Whether the call failed for a shortage of this machine, so that the peer has nothing to do with it."""
    return error.errno in OWN_SHORTAGE
