import type { OverheadReport } from "./overheadReport.js";

const MAX_ADDED_P99_MS = 3;
const MIN_ENTRY_SHARE = 0.5;
const MAX_BEYOND_MIB = 64;
const BYTES_PER_MIB = 1024 * 1024;

/** Compares the figures with their targets. */
export function targetsOf(figures: Omit<OverheadReport, "targets">): OverheadReport["targets"] {
    const { firstToken, requests, memory } = figures;
    const failed = Object.values(figures.failures).reduce((total, count) => total + count, 0);
    return [
        {
            name: "added time to first token, p99, at 60% of saturation",
            target: `< ${MAX_ADDED_P99_MS} ms`,
            measured: `${firstToken.addedP99Ms.toFixed(2)} ms`,
            isMet: firstToken.addedP99Ms < MAX_ADDED_P99_MS,
        },
        {
            name: "requests/s of an entry against the pass-through",
            target: `>= ${MIN_ENTRY_SHARE}`,
            measured: requests.entryShare.toFixed(2),
            isMet: requests.entryShare >= MIN_ENTRY_SHARE,
        },
        memoryTarget("idle entry", memory.entryBeyondBytes),
        memoryTarget("idle side", memory.sideBeyondBytes),
        {
            name: "failed calls",
            target: "0",
            measured: String(failed),
            isMet: failed === 0,
        },
    ];
}

function memoryTarget(name: string, beyondBytes: number): OverheadReport["targets"][number] {
    return {
        name: `memory of an ${name} beyond an empty process`,
        target: `< ${MAX_BEYOND_MIB} MiB`,
        measured: `${(beyondBytes / BYTES_PER_MIB).toFixed(1)} MiB`,
        isMet: beyondBytes < MAX_BEYOND_MIB * BYTES_PER_MIB,
    };
}
