"""Guards the invariants of both example deployments under random faults: one short run each from a
fixed seed. Longer runs: docs/faults-run.md."""

import sys

import fault_run

SECONDS = 35
# The first seeds whose first three rounds of faults have a drained agent, a lost leader, a cut zone and
# a killed process.
SEEDS = {"kupa": "7002", "brazos-bend": "8811"}


def main(program):
    codes = [fault_run.main([program, name, "--seconds", str(SECONDS), "--seed", seed])
             for name, seed in SEEDS.items()]
    assert codes == [0, 0], "an invariant was broken"


if __name__ == "__main__":
    main(sys.argv[1])
