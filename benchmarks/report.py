"""A page that compares runs: the figures as a table, served shares and tries by the second as plots in SVG."""

from __future__ import annotations

from typing import Any

from jinja2 import Environment, select_autoescape

WIDTH, HEIGHT = 640, 160
TEMPLATE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Retry storm: with overload control and without</title>
<style>body{font:15px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.2em .8em;
border-bottom:1px solid #ddd;text-align:left}td+td,th+th{text-align:right}svg{background:#fafafa}</style>
<h1>Retry storm</h1>
<p>A box stops from second {{ first }} to {{ back }}; three times as much is asked meanwhile.</p>
{% for plot in plots %}
<h2>{{ plot.title }}</h2>
<svg viewBox="0 0 {{ width }} {{ height }}" width="{{ width }}" height="{{ height }}" role="img" aria-label="{{ plot.title }}">
<rect x="{{ plot.fault[0] }}" y="0" width="{{ plot.fault[1] }}" height="{{ height }}" fill="#f3d9d9"/>
{% for line in plot.lines %}<polyline fill="none" stroke="{{ line.colour }}" stroke-width="2" points="{{ line.points }}"/>
{% endfor %}</svg>
<p>{% for line in plot.lines %}<span style="color:{{ line.colour }}">{{ line.name }}</span> {% endfor %}
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
    for title, key, top in (("Share of first tries served in time, by the second", "share", 1.0),
                            ("Tries for each first try", "tries", 3.0)):
        length = len(found["on"][key]) - 1
        plots.append({"title": title, "top": top, "fault": (BEFORE_S / length * WIDTH, FAULT_S / length * WIDTH),
                      "lines": [{"name": name, "colour": colour, "points": _points(found[side][key], top)}
                                for name, side, colour in sides]})
    environment = Environment(autoescape=select_autoescape(default=True, default_for_string=True))
    return environment.from_string(TEMPLATE).render(figures=figures, plots=plots, width=WIDTH, height=HEIGHT,
                                                    first=BEFORE_S, back=BEFORE_S + FAULT_S)
