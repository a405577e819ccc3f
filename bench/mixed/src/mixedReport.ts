import type { ArmFigures } from "./armFigures.js";
import type { ArmName } from "./armName.js";
import type { Spread } from "./spread.js";

/** Report of the experiment with online and batch work on one fleet. */
export interface MixedReport {
    seed: number;
    seconds: number;
    engines: number;
    /** Arm (d) over arm (a). */
    ttftP99Ratio: number;
    /** Arm (d) over arm (a). */
    tokenGapP99Ratio: number;
    /** Arm (d) over the bound (e). */
    batchShareOfBound: number;
    /** The bound (e): batch tokens per second that the capacity left idle by arm (a) could yield. */
    boundTokensPerSecond: number;
    rounds: number;
    /** Smallest and largest value over the rounds. */
    spread: { ttftP99Ratio: Spread; tokenGapP99Ratio: Spread; batchShareOfBound: Spread; };
    arms: { [Name in ArmName]?: ArmFigures; };
}
