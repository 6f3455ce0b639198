"""The configuration language: parse, meaning, format, diff (pure); files reads."""
