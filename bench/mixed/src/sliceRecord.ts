import type { EngineTotals } from "@knapweedwood/standins.engine/engineTotals";
import type { ArmName } from "./armName.js";
import type { CallRecord } from "./callRecord.js";

/** What one slice of an arm measured. */
export interface SliceRecord {
    arm: ArmName;
    round: number;
    durationMs: number;
    startMs: number;
    /** Calls that were due in the slice, after its warm-up. */
    calls: CallRecord[];
    /** What the engines did in the slice. */
    totals: EngineTotals;
    /** Batch tokens a second, second by second, shape [seconds]. */
    batchTokensBySecond: number[];
}
