"""One plot a role as SVG, written by hand so that equal figures give an equal file: panels of points and their line."""

from __future__ import annotations

from html import escape

from benchmarks.scaling.figures import Figure

WIDTH, HEIGHT = 360, 210  # of a panel
COLUMNS = 3
LEFT, RIGHT, TOP, BOTTOM = 70, 15, 46, 40  # margins within it
INK, LINE, POINT = "#333", "#888", "#1f5fa8"


def plot(title: str, figures: list[Figure]) -> str:
    """The text of an SVG file."""
    rows = -(-len(figures) // COLUMNS)
    width, height = COLUMNS * WIDTH, rows * HEIGHT + 30
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" font-family="sans-serif" '
        f'font-size="11" fill="{INK}">',
        f'<rect width="{width}" height="{height}" fill="white"/>',
        f'<text x="10" y="20" font-size="15">{escape(title)}</text>',
    ]
    for number, figure in enumerate(figures):
        x, y = number % COLUMNS * WIDTH, number // COLUMNS * HEIGHT + 30
        parts.append(f'<g transform="translate({x},{y})">')
        parts += _panel(figure)
        parts.append("</g>")
    return "\n".join([*parts, "</svg>"]) + "\n"


def _panel(figure: Figure) -> list[str]:
    most_x = max(x for x, _ in figure.points)
    most_y = max(max(y for _, y in figure.points), figure.line.at(most_x), 1e-12) * 1.08

    def place(x: float, y: float) -> tuple[str, str]:
        across = LEFT + x / most_x * (WIDTH - LEFT - RIGHT)
        down = HEIGHT - BOTTOM - max(0.0, y) / most_y * (HEIGHT - TOP - BOTTOM)
        return f"{across:.1f}", f"{down:.1f}"

    (x0, y0), (x1, y1) = place(0, figure.line.at(0)), place(most_x, figure.line.at(most_x))
    parts = [
        f'<text x="10" y="16" font-weight="bold">{escape(figure.name)}</text>',
        f'<text x="10" y="32">{figure.line.slope:.4g} {escape(figure.unit)}, line kept within '
        f"{figure.line.deviation:.1%}</text>",
        f'<path d="M{LEFT} {TOP}V{HEIGHT - BOTTOM}H{WIDTH - RIGHT}" fill="none" stroke="{INK}"/>',
        f'<line x1="{x0}" y1="{y0}" x2="{x1}" y2="{y1}" stroke="{LINE}"/>',
        f'<text x="{LEFT - 4}" y="{TOP + 8}" text-anchor="end">{most_y / 1.08:.3g}</text>',
        f'<text x="{LEFT - 4}" y="{HEIGHT - BOTTOM}" text-anchor="end">0</text>',
        f'<text x="{WIDTH - RIGHT}" y="{HEIGHT - BOTTOM + 14}" text-anchor="end">{most_x:g}</text>',
        f'<text x="{LEFT}" y="{HEIGHT - BOTTOM + 28}">{escape(figure.sizes)}</text>',
    ]
    for x, y in figure.points:
        across, down = place(x, y)
        parts.append(f'<circle cx="{across}" cy="{down}" r="3.5" fill="{POINT}"/>')
    return parts
