"""The classes that stand-ins hand in and take: by a word each, `NAME=never`, `NAME=keyed:6` or `NAME=freely`."""

from __future__ import annotations

import argparse

from scalefall.policy.settings import Idempotency, MessageClass

SECOND = 1_000_000
REPEAT_WORDS = {Idempotency.NOT_IDEMPOTENT: "never", Idempotency.WITH_KEY: "keyed", Idempotency.IDEMPOTENT: "freely"}
IDEMPOTENCY_BY_WORD = {word: effect for effect, word in REPEAT_WORDS.items()}
DEFAULT_KEY_TTL_S = 6  # for which a partner knows a repeat, where the word does not say


def read_class(word: str) -> MessageClass:
    """A ValueError, which argparse tells, for what is no such word."""
    name, _, rest = word.partition("=")
    repeat, _, window = rest.partition(":")
    if not name or repeat not in IDEMPOTENCY_BY_WORD:
        raise ValueError(word)
    effect = IDEMPOTENCY_BY_WORD[repeat]
    span = int(float(window or DEFAULT_KEY_TTL_S) * SECOND) if effect is Idempotency.WITH_KEY else 0
    return MessageClass(name, 3 * SECOND, 24 * SECOND, 1.0, 0.3, effect, False, span, False)


DEFAULT_CLASSES = {cls.name: cls for cls in map(read_class, ("once=never", "keyed=keyed", "often=freely"))}


def add_classes(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--class",
        dest="classes",
        action="append",
        type=read_class,
        metavar="NAME=REPEAT",
        help="never, freely or keyed:SECONDS; once for each class",
    )


def classes_of(options: argparse.Namespace) -> dict[str, MessageClass]:
    return {cls.name: cls for cls in options.classes} if options.classes else DEFAULT_CLASSES
