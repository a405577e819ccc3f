import type { Random } from "@knapweedwood/core.random/random";
import type { FaultKind } from "./faultKind.js";
import { faultKinds } from "./faultKinds.js";
import type { PlannedFault } from "./plannedFault.js";

/** Kinds that lose a disk, or a part of it. */
const DISK_KINDS: FaultKind[] = ["wipe-disk", "tear-file"];
/** Time after which the loss of one disk may be followed by that of another. */
const DISK_GAP_MS = 14_000;
const MIN_GAP_MS = 300;
const MAX_GAP_MS = 2500;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 4500;
/** One in so many gaps is long enough for the checks that need calm. */
const LONG_GAP_ONE_IN = 8;
const LONG_GAP_MS = 7000;

/** Draws trouble for a span, mostly overlapping; as many disks are lost at a time as the settings allow. */
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
