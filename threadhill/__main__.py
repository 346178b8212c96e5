"""`python -m threadhill`: the command line."""

from threadhill.cli import app

app(prog_name="threadhill")
