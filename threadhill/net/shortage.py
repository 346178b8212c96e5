"""Classifies system call errors: which are caused by this machine's resources and not by a peer."""

from __future__ import annotations

import errno

# The process or machine is out of descriptors, memory or ports, or local rules forbid the call.
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
# accept(2) reports pending errors of the queued connection; the next one can be accepted at once.
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

# Transient errors of reading a file, with nothing wrong about the file itself.
READ_AGAIN = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.EINTR, errno.EAGAIN})
START_PATIENCE = 8.0  # seconds for which a starting process waits for a shortage to pass


def is_own_shortage(error: OSError) -> bool:
    """Whether the call failed for lack of resources on this machine, which says nothing about the peer."""
    return error.errno in OWN_SHORTAGE
