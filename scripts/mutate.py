#!/usr/bin/env python3
"""Negates each condition of a Go package in turn and lists the changes that the package's short tests do not notice.

Usage: scripts/mutate.py PACKAGE-DIRECTORY... (in a copy of the repository: it edits files in place)
"""
import glob
import re
import subprocess
import sys

TIMEOUT_SECONDS = 60
CONDITION = re.compile(r"^(\s*(?:\} else )?if (?:[^;{]*; )?)([^;{]+)( \{)$")


def mutants(lines):
    """Yields the number of a line with a condition and the line with the condition negated."""
    for number, line in enumerate(lines):
        match = CONDITION.match(line)
        if match and "err != nil" not in match[2] and "err == nil" not in match[2]:
            yield number, f"{match[1]}!({match[2]}){match[3]}"


def survives(package):
    """Reports whether the package builds and its short tests pass."""
    command = ["go", "test", "-short", "-count=1", f"-timeout={TIMEOUT_SECONDS}s", "./" + package]
    if subprocess.run(["go", "vet", "./" + package], capture_output=True, check=False).returncode != 0:
        return False
    return subprocess.run(command, capture_output=True, check=False).returncode == 0


def main():
    total = survivors = 0
    for package in sys.argv[1:]:
        for path in sorted(glob.glob(package + "/*.go")):
            if path.endswith("_test.go"):
                continue
            with open(path, encoding="utf-8") as file:
                original = file.read()
            lines = original.split("\n")
            for number, mutant in mutants(lines):
                changed = lines[:number] + [mutant] + lines[number + 1:]
                with open(path, "w", encoding="utf-8") as file:
                    file.write("\n".join(changed))
                total += 1
                if survives(package):
                    survivors += 1
                    print(f"{path}:{number + 1}: {lines[number].strip()}", flush=True)
            with open(path, "w", encoding="utf-8") as file:
                file.write(original)
    print(f"{survivors} of {total} survive")


main()
