#!/usr/bin/env python3
"""Runs clang-tidy on one source file, unless it passed before with the same inputs.

The inputs are the file and the headers of this repository that it includes, the checks, the compile
command, and the versions of clang-tidy and of the installed development packages.
"""
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

BUILD = "build-lint"


def output_of(command, **options):
    return subprocess.run(command, check=True, capture_output=True, text=True, **options).stdout


def compile_command(source):
    with open(f"{BUILD}/compile_commands.json", encoding="utf-8") as commands:
        for entry in json.load(commands):
            if os.path.samefile(entry["file"], source):
                return entry
    raise LookupError(f"{source} is not built")


def headers_of(entry, root):
    """Files of this repository that the source includes, itself among them."""
    arguments = shlex.split(entry["command"])
    compiler = next(i for i, word in enumerate(arguments) if word.endswith(("c++", "g++")))
    flags = [word for word in arguments[compiler + 1:] if word != "-c"]
    del flags[flags.index("-o"):flags.index("-o") + 2]
    rule = output_of([arguments[compiler], "-MM", *flags], cwd=entry["directory"])
    paths = shlex.split(rule.replace("\\\n", " "))[1:]
    resolved = [os.path.realpath(os.path.join(entry["directory"], path)) for path in paths]
    return sorted({path for path in resolved if path.startswith(root + os.sep)})


def key_of(source):
    root = os.path.realpath(".")
    entry = compile_command(source)
    digest = hashlib.sha256()
    digest.update(entry["command"].replace(root, "").encode())
    digest.update(output_of(["clang-tidy", "--version"]).encode())
    with open("scripts/packages.txt", encoding="utf-8") as packages:
        names = packages.read().split()
    digest.update(output_of(["dpkg-query", "-W", *names]).encode())
    for path in [os.path.join(root, ".clang-tidy"), *headers_of(entry, root)]:
        digest.update(path.removeprefix(root).encode())
        digest.update(pathlib.Path(path).read_bytes())
    return digest.hexdigest()


def main():
    source = sys.argv[1]
    passed = pathlib.Path(os.environ["CURRANTREEL_LINT_CACHE"], key_of(source))
    if passed.exists():
        passed.touch()
        return 0
    result = subprocess.run(["clang-tidy", "-p", BUILD, "--quiet", source], check=False)
    if result.returncode == 0:
        passed.touch()
    return result.returncode


if __name__ == "__main__":
    sys.exit(main())
