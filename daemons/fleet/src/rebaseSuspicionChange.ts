import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import { mergeSuspicions } from "@knapweedwood/fleet.quarantine/mergeSuspicions";
import type { Suspicion } from "@knapweedwood/fleet.quarantine/suspicion";
import type { SuspicionChange } from "./suspicionChange.js";

/**
 * Returns what remains to be written of a change whose entry is not the one that it was to replace; undefined if nothing
 * remains. `current` is undefined if the entry is absent.
 */
export function rebaseSuspicionChange(
    change: SuspicionChange,
    current: KeyValueEntry | undefined,
): SuspicionChange | undefined {
    const rebased = { ...change, replacedRevision: current?.modRevision ?? 0, conflicts: change.conflicts + 1 };
    if (current === undefined) {
        return change.kind === "put" ? rebased : undefined;
    }
    const stored = decodeRecord<Suspicion>(current.value);
    if (change.kind === "delete") {
        // Another process stored what this one didn't know when it no longer needed the suspicion.
        const isNews = mergeSuspicions(change.suspicion, stored) !== change.suspicion;
        return isNews ? undefined : rebased;
    }
    const merged = mergeSuspicions(stored, change.suspicion);
    return merged === stored ? undefined : { ...rebased, suspicion: merged };
}
