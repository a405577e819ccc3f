import type { EngineTotals } from "@knapweedwood/standins.engine/engineTotals";
import type { ArmName } from "./armName.js";
import type { CallRecord } from "./callRecord.js";

/** Measurements of one slice of an arm. */
export interface SliceRecord {
    arm: ArmName;
    round: number;
    durationMs: number;
    startMs: number;
    /** Calls that were due after the warm-up of the slice. */
    calls: CallRecord[];
    /** Totals of the engines in the slice. */
    totals: EngineTotals;
    /** Batch tokens per second in each second, shape [seconds]. */
    batchTokensBySecond: number[];
}
