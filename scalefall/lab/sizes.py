"""How much memory a value takes with all that it refers to."""

from __future__ import annotations

import gc
import sys
from enum import Enum
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType

SHARED = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType, Enum)  # belong to the program


def deep_size(*roots: object) -> int:
    """Bytes, each object counted once. What belongs to the program as a whole (classes, functions) is not counted, and
    the allocator's rounding neither."""
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
