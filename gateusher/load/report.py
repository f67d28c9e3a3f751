"""Writes the report of a run as a self-contained HTML file and as JSON.

Text from a source (patterns, reasons, file names) is untrusted: the template escapes all of it.
"""

from __future__ import annotations

import io
from pathlib import Path
from typing import Any

import jinja2
from markupsafe import Markup
from matplotlib import rc_context
from matplotlib.figure import Figure

from .results import to_json

OUTCOME_COLORS = {
    "served": "#2f7d4f",
    "refused": "#d9a21b",
    "timed_out": "#c2571a",
    "redirected": "#7a6fb0",
    "failed": "#b3261e",
    "no_answer": "#7d1128",
    "broken": "#8a4b2a",
    "unreachable": "#555555",
    "held_back": "#8d99a6",
    "stopped": "#b8c0c8",
    "others": "#b3261e",
}
PERCENTILE_COLORS = {"p50": "#2f7d4f", "p90": "#2463a8", "p99": "#b3261e"}
MAX_CURVE_POINTS = 2000  # a longer curve is reduced to the means of equal intervals

TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Replay {{ run.run }}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; color: #1d2329 }
h1 { font-size: 1.5rem } h2 { font-size: 1.15rem; margin-top: 2rem }
table { border-collapse: collapse; margin: .5rem 0 } td, th { padding: .15rem .8rem .15rem 0; text-align: right }
td:first-child, th:first-child, td.t { text-align: left } th { border-bottom: 1px solid #9aa4ae; font-weight: 600 }
.warn { background: #fff2cc; border-left: 4px solid #d9a21b; padding: .5rem .8rem }
svg { max-width: 100%; height: auto } code { font-size: .9em; overflow-wrap: anywhere }
</style></head><body>
<h1>Replay {{ run.run }} to {{ run.target }}</h1>
{% if results.fell_behind %}<p class="warn">{{ results.fell_behind|capitalize }}. What follows is not what the plan
asked for.</p>{% endif %}
{% if run.stopped %}<p class="warn">Stopped after {{ "%.1f"|format(run.reached_s) }} s: {{ run.stopped }}</p>
{% endif %}
<p>{{ results.sent }} of {{ results.requests }} requests sent by {{ results.clients }} clients, at {{ run.speed }}
times the source's speed with {{ run.copies }} {{ "copy" if run.copies == 1 else "copies" }} of each client, by
{{ run.workers }} {{ "worker" if run.workers == 1 else "workers" }}.
{{ read.dropped }} of {{ read.records }} records of the source ({{ "%.2f"|format(100 * read.dropped_share) }}%) were
not played.</p>
<h2>Requests a second</h2>{{ charts.rate }}
<h2>How late the sender was</h2>
<table><tr>{% for name in results.lateness_ms %}<th>{{ name }}</th>{% endfor %}</tr>
<tr>{% for value in results.lateness_ms.values() %}<td>{{ "%.2f"|format(value) }} ms</td>{% endfor %}</tr></table>
<h2>Latency over time</h2>{{ charts.latency }}
<h2>By class</h2>
<table><tr><th>class</th><th>requests</th><th>in aim</th>
{% for o in outcomes %}<th>{{ o|replace("_", " ") }}</th>{% endfor %}
{% for p in ("p50", "p90", "p99") %}<th>{{ p }}, ms</th>{% endfor %}</tr>
{% for name, c in results.classes.items() %}<tr><td>{{ name }}</td><td>{{ c.requests }}</td><td>{{ c.in_aim }}</td>
{% for o in outcomes %}<td>{{ c.get(o, 0) }}</td>{% endfor %}
{% for p in ("p50", "p90", "p99") %}<td>{{ "%.1f"|format(c.latency_ms[p]) if c.latency_ms else "" }}</td>{% endfor %}
</tr>{% endfor %}</table>
{{ charts.classes }}
<h2>By client, the busiest tenth first</h2>{{ charts.deciles }}
<h2>The sources</h2>
<table><tr><th>file</th><th>format</th><th>lines</th><th>entries</th><th>faults</th><th>never sent</th><th>spread in
their second</th><th>late</th><th>clock set back</th></tr>
{% for s in read.sources %}<tr><td><code>{{ s.file }}</code></td><td class="t">{{ s.format }}
{{ "(guessed)" if s.guessed }}</td>
{% for n in (s.lines, s.entries, s.faults, s.left_out, s.whole_seconds_spread, s.late_lines, s.clock_set_back) %}
<td>{{ n }}</td>{% endfor %}</tr>{% endfor %}</table>
{% if read.faults_by_reason %}<h2>What could not be read</h2>
<table><tr><th>field</th><th>reason</th><th>records</th></tr>
{% for f in read.faults_by_reason %}<tr><td>{{ f.field }}</td><td class="t">{{ f.reason }}</td><td>{{ f.count }}</td>
</tr>{% endfor %}</table>
<table><tr><th>file</th><th>line</th><th>field</th><th>reason</th></tr>
{% for f in read.first_faults %}<tr><td><code>{{ f.file }}</code></td><td>{{ f.line }}</td><td class="t">{{ f.field }}
</td><td class="t">{{ f.reason }}</td></tr>{% endfor %}</table>{% endif %}
{% if read.unmatched %}<h2>{{ read.unmatched }} requests that no rule names</h2>
<table><tr><th>what they look like</th><th>requests</th></tr>
{% for pattern, count in read.unmatched_patterns.items() %}<tr><td><code>{{ pattern }}</code></td><td>{{ count }}</td>
</tr>{% endfor %}</table>{% endif %}
</body></html>
"""


def _svg(figure: Figure) -> Markup:
    out = io.StringIO()
    with rc_context({"svg.hashsalt": "gateusher", "svg.fonttype": "none"}):
        figure.savefig(out, format="svg", metadata=dict.fromkeys(("Date", "Creator", "Format", "Type")))
    text = out.getvalue()
    return Markup(text[text.index("<svg") :])  # noqa: S704 - drawn here; matplotlib escapes the names in it


def _figure(height: float, y_label: str, x_label: str) -> tuple[Figure, Any]:
    figure = Figure(figsize=(9.0, height), layout="constrained")
    axes = figure.add_subplot()
    axes.set_ylabel(y_label)
    axes.set_xlabel(x_label)
    axes.spines[["top", "right"]].set_visible(False)
    axes.grid(axis="y", alpha=0.3)
    return figure, axes


def _downsample(values: list[int]) -> tuple[list[float], list[float]]:
    """Return the x and y values of a curve reduced to at most MAX_CURVE_POINTS points."""
    step = max(1, -(-len(values) // MAX_CURVE_POINTS))
    return (
        [i + step / 2 for i in range(0, len(values), step)],
        [sum(values[i : i + step]) / len(values[i : i + step]) for i in range(0, len(values), step)],
    )


def _rate(results: dict[str, Any]) -> Markup:
    figure, axes = _figure(2.8, "requests a second", "seconds")
    axes.plot(*_downsample(results["planned_by_second"]), color="#9aa4ae", linewidth=3, label="planned")
    axes.plot(*_downsample(results["sent_by_second"]), color="#2463a8", linewidth=1.2, label="sent")
    axes.set_ylim(bottom=0)
    axes.legend(frameon=False, loc="lower right")
    return _svg(figure)


def _latency(results: dict[str, Any]) -> Markup:
    figure, axes = _figure(2.8, "milliseconds", "seconds")
    curve = results["latency_over_time_ms"]
    steps = [
        (int(at) + curve["step_s"] / 2, percentiles) for at, percentiles in curve["steps"].items() if percentiles
    ]
    for name, color in PERCENTILE_COLORS.items():
        axes.plot([at for at, _ in steps], [percentiles[name] for _, percentiles in steps], color=color, label=name)
    if steps:
        axes.set_yscale("log")
        axes.legend(frameon=False, ncols=3)
    return _svg(figure)


def _stacked(rows: list[tuple[str, dict[str, int]]], x_label: str) -> Markup:
    """Draw the shares of outcomes, with one stacked bar for each row."""
    figure, axes = _figure(0.9 + 0.32 * len(rows), "", x_label)
    left = [0.0] * len(rows)
    for outcome, color in OUTCOME_COLORS.items():
        values = [100.0 * row.get(outcome, 0) / max(1, sum(row.values())) for _, row in rows]
        if any(values):
            axes.barh([name for name, _ in rows], values, left=left, color=color, label=outcome.replace("_", " "))
            left = [a + b for a, b in zip(left, values, strict=True)]
    axes.invert_yaxis()
    axes.set_xlim(0, 100)
    if any(left):
        axes.legend(frameon=False, ncols=5, loc="lower left", bbox_to_anchor=(0, 1))
    return _svg(figure)


def html(data: dict[str, Any]) -> str:
    """Return the HTML report of one run from the content of its JSON report."""
    results = data["results"]
    shown_outcomes = [o for o, count in results["outcomes"].items() if count]
    classes = [
        (name.replace("$", r"\$"), {o: c.get(o, 0) for o in shown_outcomes}) for name, c in results["classes"].items()
    ]
    deciles = [
        (f"{i + 1}: {row['requests']} of {row['clients']}", {k: row[k] for k in ("served", "refused", "others")})
        for i, row in enumerate(results["client_deciles"])
    ]
    charts = {
        "rate": _rate(results),
        "latency": _latency(results),
        "classes": _stacked(classes, "% of the class's requests"),
        "deciles": _stacked(deciles, "% of the tenth's requests (tenth: requests of clients)"),
    }
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.from_string(TEMPLATE).render(**data, outcomes=shown_outcomes, charts=charts)


def write(folder: Path, data: dict[str, Any]) -> Path:
    """Write the JSON and the HTML report, and return the path of the latter."""
    (folder / "report.json").write_text(to_json(data))
    path = folder / "report.html"
    path.write_text(html(data))
    return path
