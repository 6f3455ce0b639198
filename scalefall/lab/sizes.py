"""The memory that a value takes with everything it refers to."""

from __future__ import annotations

import gc
import sys
from enum import Enum
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType

SHARED = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType, Enum)  # parts of the program


def deep_size(*roots: object) -> int:
    """Return the bytes of all objects reachable from the roots, each counted once.

    Parts of the program (classes, functions) and the allocator's rounding are not counted.
    """
    seen: set[int] = set()
    queue: list[object] = list(roots)
    total = 0
    while queue:
        value = queue.pop()
        if id(value) in seen or isinstance(value, SHARED):
            continue
        seen.add(id(value))
        total += sys.getsizeof(value)
        queue += gc.get_referents(value)
    return total
