"""Renders the HTML page of a drill: verdict, figures, and the served share per second with the faults marked."""

from __future__ import annotations

from jinja2 import Environment, select_autoescape

from threadhill.drills.scenario import Scenario
from threadhill.drills.verdict import DrillResult, failures

WIDTH, HEIGHT = 720, 180
TEMPLATE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Drill: {{ scenario.name }}</title>
<style>body{font:15px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.2em .8em;
border-bottom:1px solid #ddd;text-align:left}svg{background:#fafafa}.no{color:#a33}.yes{color:#1b6e3c}</style>
<h1>{{ scenario.name }}: {% if faults %}<span class="no">failed</span>{% else %}<span class="yes">passed</span>{% endif %}</h1>
<p>{{ scenario.about }}</p>
{% if faults %}<ul>{% for line in faults %}<li class="no">{{ line }}</li>{% endfor %}</ul>{% endif %}
<h2>Served share by the second</h2>
<svg viewBox="0 0 {{ width }} {{ height }}" width="{{ width }}" height="{{ height }}" role="img" aria-label="served share">
{% for mark in marks %}<line x1="{{ mark.x }}" x2="{{ mark.x }}" y1="0" y2="{{ height }}" stroke="#d99"/>
<text x="{{ mark.x + 3 }}" y="{{ mark.y }}" font-size="11">{{ mark.text }}</text>
{% endfor %}<polyline fill="none" stroke="#1b6e3c" stroke-width="2" points="{{ points }}"/></svg>
<table><tr><th>figure</th><th>value</th></tr>
{% for name, value in figures.items() %}<tr><td>{{ name }}</td><td>{{ value }}</td></tr>
{% endfor %}</table></html>
"""  # noqa: E501


def render_page(result: DrillResult, scenario: Scenario) -> str:
    """The complete page."""
    step = WIDTH / max(1, len(result.by_second) - 1)
    points = " ".join(f"{n * step:.1f},{HEIGHT - (HEIGHT - 4) * share:.1f}" for n, share in enumerate(result.by_second))
    marks = [
        {
            "x": round(fault.at * step, 1),
            "y": HEIGHT - 8 - 14 * (number % 8),
            "text": f"{fault.do} {', '.join(scenario.targets(fault)[:2])}",
        }
        for number, fault in enumerate(sorted(scenario.faults, key=lambda fault: fault.at))
    ]
    environment = Environment(autoescape=select_autoescape(default=True, default_for_string=True))
    figures = {name: value for name, value in result.report(scenario).items() if name not in ("failures", "drill")}
    return environment.from_string(TEMPLATE).render(
        scenario=scenario,
        faults=failures(result, scenario),
        points=points,
        marks=marks,
        figures=figures,
        width=WIDTH,
        height=HEIGHT,
    )
