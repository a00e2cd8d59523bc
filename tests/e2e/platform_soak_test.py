"""Guards the promises to callers on the users' platform under random faults: three short runs from
fixed seeds. Longer runs: platform_soak.py."""

import sys

import platform_soak

SECONDS = "20"
SEEDS = ["2", "3", "4"]


def main(program):
    codes = [platform_soak.main([program, "--seed", seed, "--seconds", SECONDS]) for seed in SEEDS]
    assert codes == [0, 0, 0], "a promise was broken"


if __name__ == "__main__":
    main(sys.argv[1])
