"""The configuration language: parsing, analysis, layout and comparison without I/O; `files` does the reading."""
