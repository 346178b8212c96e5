"""Pages that compare runs: the figures as a table, what they served or how load lay over time as plots in SVG."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from jinja2 import Environment, select_autoescape

WIDTH, HEIGHT = 640, 160
TEMPLATE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{ title }}</title>
<style>body{font:15px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.2em .8em;
border-bottom:1px solid #ddd;text-align:left}td+td,th+th{text-align:right}svg{background:#fafafa}</style>
<h1>{{ title }}</h1>
<p>{{ about }}</p>
{% for plot in plots %}
<h2>{{ plot.title }}</h2>
<svg viewBox="0 0 {{ width }} {{ height }}" width="{{ width }}" height="{{ height }}" role="img" aria-label="{{ plot.title }}">
{% if plot.fault %}<rect x="{{ plot.fault[0] }}" y="0" width="{{ plot.fault[1] }}" height="{{ height }}" fill="#f3d9d9"/>{% endif %}
{% for line in plot.lines %}<polyline fill="none" stroke="{{ line.colour }}" stroke-width="2" points="{{ line.points }}"/>
{% endfor %}</svg>
<p>{% for line in plot.lines if line.name %}<span style="color:{{ line.colour }}">{{ line.name }}</span> {% endfor %}
&mdash; top of the plot: {{ plot.top }}</p>
{% endfor %}
<table><tr><th>figure</th><th>value</th></tr>
{% for name, value in figures.items() %}<tr><td>{{ name }}</td><td>{{ value }}</td></tr>
{% endfor %}</table></html>
"""  # noqa: E501


def _points(values: list[float], top: float) -> str:
    step = WIDTH / max(1, len(values) - 1)
    return " ".join(f"{i * step:.1f},{HEIGHT - HEIGHT * min(1.0, value / top):.1f}" for i, value in enumerate(values))


def page(figures: dict[str, Any], found: dict[str, dict[str, Any]]) -> str:
    """The page."""
    from benchmarks.storm import BEFORE_S, FAULT_S

    sides = (("with overload control", "on", "#1b6e3c"), ("without", "off", "#a33"))
    plots = []
    for title, key, top in (
        ("Share of first tries served in time, by the second", "share", 1.0),
        ("Tries for each first try", "tries", 3.0),
    ):
        length = len(found["on"][key]) - 1
        plots.append(
            {
                "title": title,
                "top": top,
                "fault": (BEFORE_S / length * WIDTH, FAULT_S / length * WIDTH),
                "lines": [
                    {"name": name, "colour": colour, "points": _points(found[side][key], top)}
                    for name, side, colour in sides
                ],
            }
        )
    about = f"A box stops from second {BEFORE_S} to {BEFORE_S + FAULT_S}; three times as much is asked meanwhile."
    return _render("Retry storm: with overload control and without", about, figures, plots)


def load_page(path: Path, figures: dict[str, Any], times: dict[str, dict[str, list[float]]], seconds: float) -> None:
    """Requests by the half second at each cache, a line each, one plot a version."""
    slots = int(2 * seconds)
    lines = {
        side: [[sum(i <= 2 * t < i + 1 for t in at) for i in range(slots)] for at in by_server.values()]
        for side, by_server in times.items()
    }
    top = max(max(line) for side in lines.values() for line in side)
    plots = [
        {
            "title": f"Requests in each half second, a line a cache: {side}",
            "top": top,
            "fault": None,
            "lines": [
                {"name": "", "colour": "#1b6e3c" if side == "now" else "#a33", "points": _points(line, top)}
                for line in found
            ],
        }
        for side, found in lines.items()
    ]
    about = "One object is 30% of all requests from the first second on."
    path.write_text(_render("Load by server", about, figures, plots))


def _render(title: str, about: str, figures: dict[str, Any], plots: list[dict[str, Any]]) -> str:
    environment = Environment(autoescape=select_autoescape(default=True, default_for_string=True))
    return environment.from_string(TEMPLATE).render(
        title=title, about=about, figures=figures, plots=plots, width=WIDTH, height=HEIGHT
    )
