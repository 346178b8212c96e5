"""`python -m threadhill`: the command line.

`serve` as the platform calls it bypasses the command line library, whose import takes longer than the rest of a
proxy's start.
"""

import os
import sys

words = sys.argv[1:]
if words == ["serve"] or words[:2] == ["serve", "--operator"] and len(words) == 3:
    from pathlib import Path

    from threadhill.serve import start

    file = words[2] if len(words) == 3 else os.environ.get("THREADHILL_OPERATOR")
    sys.exit(start(Path(file) if file else None))

from threadhill.cli import app  # noqa: E402

app(prog_name="threadhill")
