import type { ArmFigures } from "./armFigures.js";
import type { ArmName } from "./armName.js";
import type { Spread } from "./spread.js";

/** Report of the experiment with online and batch work on one fleet. */
export interface MixedReport {
    seed: number;
    /** Measured time of all slices. */
    seconds: number;
    engines: number;
    /** 99th percentile of the time to first token: arm d over arm a. */
    ttftP99Ratio: number;
    /** 99th percentile of the gap between tokens: arm d over arm a. */
    tokenGapP99Ratio: number;
    /** Batch tokens per second of arm d over `boundTokensPerSecond`. */
    batchShareOfBound: number;
    /** Bound (e): upper bound of the batch tokens per second that the capacity left idle by arm a could yield. */
    boundTokensPerSecond: number;
    rounds: number;
    /** Smallest and largest value over the rounds. */
    spread: { ttftP99Ratio: Spread; tokenGapP99Ratio: Spread; batchShareOfBound: Spread; };
    arms: { [Name in ArmName]?: ArmFigures; };
}
