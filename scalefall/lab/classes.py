"""The message classes of the stand-ins, one argument each: `NAME=never`, `NAME=keyed:6` or `NAME=freely`."""

from __future__ import annotations

import argparse

from scalefall.policy.settings import Idempotency, MessageClass

SECOND = 1_000_000  # us
REPEAT_WORDS = {Idempotency.NOT_IDEMPOTENT: "never", Idempotency.WITH_KEY: "keyed", Idempotency.IDEMPOTENT: "freely"}
IDEMPOTENCY_BY_WORD = {word: idempotency for idempotency, word in REPEAT_WORDS.items()}
DEFAULT_KEY_TTL_S = 6  # how long a destination recognizes a repeat by its key


def read_class(word: str) -> MessageClass:
    """Parse a class; raise ValueError, which argparse reports, if the word is malformed."""
    name, _, repeat_rule = word.partition("=")
    repeat, _, key_ttl_s = repeat_rule.partition(":")
    if not name or repeat not in IDEMPOTENCY_BY_WORD:
        raise ValueError(word)
    idempotency = IDEMPOTENCY_BY_WORD[repeat]
    key_ttl_us = int(float(key_ttl_s or DEFAULT_KEY_TTL_S) * SECOND) if idempotency is Idempotency.WITH_KEY else 0
    return MessageClass(name, 3 * SECOND, 24 * SECOND, 1.0, 0.3, idempotency, False, key_ttl_us, False)


DEFAULT_CLASSES = {
    message_class.name: message_class
    for message_class in map(read_class, ("once=never", "keyed=keyed", "often=freely"))
}


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
    return (
        {message_class.name: message_class for message_class in options.classes} if options.classes else DEFAULT_CLASSES
    )
