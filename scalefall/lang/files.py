"""Reads and writes files for the language: folders on disk and revisions of a git repository."""

from __future__ import annotations

import os
import stat
import subprocess

ROOT_FILE = "site.scale"  # the first file of a configuration given as a folder
GIT_TIMEOUT_S = 60


class Disk:
    """Files below a folder on disk. Opening never blocks (pipes are rejected); links out of the folder are detected."""

    def __init__(self, root: str, shown: str | None = None) -> None:
        self._root, self._shown = root or ".", root if shown is None else shown
        self._real = os.path.realpath(self._root)

    def read(self, path: str, max_bytes: int) -> bytes:
        descriptor = os.open(os.path.join(self._root, path), os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        try:
            mode = os.fstat(descriptor).st_mode
            if not stat.S_ISREG(mode):
                raise OSError(0, "it is a folder" if stat.S_ISDIR(mode) else "it is not a file")
            with open(descriptor, "rb", closefd=False) as file:
                return file.read(max_bytes + 1)
        finally:
            os.close(descriptor)

    def names(self, folder: str) -> list[str]:
        try:
            return os.listdir(os.path.join(self._root, folder))
        except (OSError, ValueError):
            return []

    def inside(self, path: str) -> bool:
        real = os.path.realpath(os.path.join(self._root, path))
        return os.path.commonpath([real, self._real]) == self._real

    def shown(self, path: str) -> str:
        return os.path.join(self._shown, path)


class Git:
    """Files below a folder in a git revision. Links are not followed, as their content is only a path."""

    def __init__(self, revision: str, root: str) -> None:
        self._revision, self._folder = revision, root or "."
        top = self._git("rev-parse", "--show-toplevel").decode().strip()
        self._git("rev-parse", "--verify", "--quiet", "--end-of-options", f"{revision}^{{commit}}")
        self._prefix = os.path.relpath(os.path.realpath(self._folder), os.path.realpath(top)).replace(os.sep, "/")
        self._prefix = "" if self._prefix == "." else self._prefix + "/"
        self._kinds: dict[str, str] = {}
        for row in self._git("ls-tree", "-r", "-z", "--full-tree", revision).decode(errors="replace").split("\0"):
            head, _, path = row.partition("\t")
            if path.startswith(self._prefix):
                self._kinds[path[len(self._prefix) :]] = head.split(" ")[0]
        self._folders: dict[str, set[str]] = {}
        for path in self._kinds:
            while path:
                parent, _, name = path.rpartition("/")
                self._folders.setdefault(parent, set()).add(name)
                path = parent

    def _git(self, *words: str) -> bytes:
        try:
            completed = subprocess.run(["git", "-C", self._folder, *words], capture_output=True, timeout=GIT_TIMEOUT_S)
        except (OSError, subprocess.SubprocessError) as error:
            raise OSError(0, f"git cannot be run: {error}") from error
        if completed.returncode:
            lines = completed.stderr.decode(errors="replace").strip().splitlines()
            raise OSError(0, lines[-1] if lines else f"git knows no revision {self._revision}")
        return completed.stdout

    def read(self, path: str, max_bytes: int) -> bytes:
        if path in self._folders:
            raise OSError(0, "it is a folder")
        if path not in self._kinds:
            raise OSError(0, f"revision {self._revision} has no such file")
        if self._kinds[path] == "120000":
            raise OSError(0, "it is a link, and links in a revision are not followed")
        return self._git("cat-file", "blob", f"{self._revision}:{self._prefix}{path}")[: max_bytes + 1]

    def names(self, folder: str) -> list[str]:
        return list(self._folders.get(folder, ()))

    def inside(self, path: str) -> bool:
        return True

    def shown(self, path: str) -> str:
        return f"{self._revision}:{path}"


def find_files(path: str) -> list[str]:
    """Return the file itself, or every .scale file below a folder, sorted by name."""
    if not os.path.isdir(path):
        return [path]
    found = []
    for folder, folders, names in os.walk(path):
        folders[:] = sorted(name for name in folders if not name.startswith("."))
        found += [os.path.join(folder, name) for name in sorted(names) if name.endswith(".scale")]
    return found


def read(path: str) -> bytes:
    """Return the content of any file, also of a pipe."""
    with open(path, "rb") as file:
        return file.read()


def locate(path: str, revision: str = "") -> tuple[Disk | Git, str]:
    """Return the source of a configuration's files and the name of its first file; OSError if git fails."""
    folder, name = (path, ROOT_FILE) if not os.path.basename(path) or os.path.isdir(path) else os.path.split(path)
    if revision:
        return Git(revision, folder), name
    return Disk(folder), name


def write(path: str, text: str) -> None:
    """Replace a file atomically: a reader sees the old text or the new one. Its mode and links stay."""
    path = os.path.realpath(path)
    new = f"{path}.new"
    with open(new, "w", encoding="utf-8", newline="\n") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    if os.path.exists(path):
        os.chmod(new, stat.S_IMODE(os.stat(path).st_mode))
    os.replace(new, path)
