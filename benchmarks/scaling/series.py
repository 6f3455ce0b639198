"""Collects the points of a figure."""

from __future__ import annotations

from dataclasses import dataclass, field

from benchmarks.scaling.figures import Figure, Quantity, Role, figure


@dataclass(slots=True)
class Series:
    role: Role
    name: str
    quantity: Quantity
    unit: str
    sizes: str
    points: list[tuple[float, float]] = field(default_factory=list)

    def add(self, size: float, value: float) -> None:
        self.points.append((size, value))

    def figure(self) -> Figure:
        return figure(self.role, self.name, self.quantity, self.unit, self.sizes, self.points)
