import type { Random } from "@knapweedwood/core.random/random";
import type { FaultKind } from "./faultKind.js";
import { faultKinds } from "./faultKinds.js";
import type { PlannedFault } from "./plannedFault.js";

/** Kinds that lose the data of a disk or a part of it. */
const DISK_KINDS: FaultKind[] = ["wipe-disk", "tear-file"];
/** Least time between the losses of two disks. */
const DISK_GAP_MS = 14_000;
const MIN_GAP_MS = 300;
const MAX_GAP_MS = 2500;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 4500;
/** One gap in this many is long, for checks that need a span without faults. */
const LONG_GAP_ONE_IN = 8;
const LONG_GAP_MS = 7000;

/**
 * Draws faults at random between `fromMs` and `toMs`; most of them overlap. Losses of disks are spaced so that no more
 * disks are lost at a time than the settings tolerate. The same seed gives the same faults.
 */
export function planFaults(random: Random, opts: { fromMs: number; toMs: number; }): PlannedFault[] {
    const faults: PlannedFault[] = [];
    let diskLostAtMs = -Infinity;
    for (let atMs = opts.fromMs; atMs < opts.toMs; atMs += nextGapMs(random)) {
        const kind = faultKinds[random.nextInteger(faultKinds.length)]!;
        const durationMs = MIN_DURATION_MS + random.nextInteger(MAX_DURATION_MS - MIN_DURATION_MS);
        const fault = { kind, atMs, durationMs: Math.min(durationMs, opts.toMs - atMs), targetFraction: random.next() };
        if (!DISK_KINDS.includes(kind)) {
            faults.push(fault);
        }
        else if (atMs >= diskLostAtMs + DISK_GAP_MS) {
            diskLostAtMs = atMs;
            faults.push(fault);
        }
    }
    return faults;
}

function nextGapMs(random: Random): number {
    return random.nextInteger(LONG_GAP_ONE_IN) === 0
        ? LONG_GAP_MS
        : MIN_GAP_MS + random.nextInteger(MAX_GAP_MS - MIN_GAP_MS);
}
