#!/usr/bin/env python3
"""Writes the site file of a variant, derived from a site file of the operators' kit.

Usage: deploy/sites/make-site.py KIT VARIANT...

KIT is the folder that holds the operators' sites. Each VARIANT is a file beside this script, without its ending. A
variant names its base site and lists changes; see `refund-tiers.toml`. The result goes to `deploy/sites/out/VARIANT/`,
which git ignores, together with the files that the bench expects beside a site.
"""

import json
import pathlib
import shutil
import sys
import tomllib

HERE = pathlib.Path(__file__).resolve().parent
COMPANIONS = ("real.json", "wire.json", "unlock.txt")


def render_value(value):
    """Renders a TOML value; strings, numbers, booleans and arrays have the same form in JSON."""
    return json.dumps(value, ensure_ascii=False)


def render_table(table, path, lines):
    """Appends a table: its plain values first, then its sub-tables."""
    nested = {key: value for key, value in table.items() if is_nested(value)}
    for key, value in table.items():
        if key not in nested:
            lines.append(f"{key} = {render_value(value)}")
    for key, value in nested.items():
        child = f"{path}.{key}" if path else key
        for entry in value if isinstance(value, list) else [value]:
            lines.append(f"\n[[{child}]]" if isinstance(value, list) else f"\n[{child}]")
            render_table(entry, child, lines)


def is_nested(value):
    """Whether a value is a table or an array of tables."""
    return isinstance(value, dict) or (isinstance(value, list) and bool(value) and isinstance(value[0], dict))


def lookup(site, path):
    """Follows a dotted path such as `tier.0.conn`; a number selects an entry of an array."""
    for step in filter(None, path.split(".")):
        site = site[int(step)] if isinstance(site, list) else site[step]
    return site


def apply_change(site, change):
    """Applies one change: `set` keys, `copy` an entry of an array to its end, or `order` an array anew."""
    target = lookup(site, change["at"])
    if "copy" in change:
        target.append(dict(target[change["copy"]]))
        target = target[-1]
    if "order" in change:
        target[:] = [target[index] for index in change["order"]]
    if "set" in change:
        target.update(change["set"])


def make(kit, name):
    """Writes one variant and returns the path of its site file."""
    variant = tomllib.loads((HERE / f"{name}.toml").read_text())
    base = kit / variant["base"]
    site = tomllib.loads(base.read_text())
    site["name"] = name
    for change in variant["change"]:
        apply_change(site, change)
    lines = []
    render_table(site, "", lines)
    folder = HERE / "out" / name
    folder.mkdir(parents=True, exist_ok=True)
    for companion in COMPANIONS:
        shutil.copyfile(base.parent / companion, folder / companion)
    path = folder / f"{name}.toml"
    path.write_text("\n".join(lines) + "\n")
    return path


def main():
    """Makes each variant named on the command line."""
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    for name in sys.argv[2:]:
        print(make(pathlib.Path(sys.argv[1]), name))


if __name__ == "__main__":
    main()
