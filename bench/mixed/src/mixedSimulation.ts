import type { ArmName } from "./armName.js";
import type { SimulatedArm } from "./simulatedArm.js";

/** Results of a simulation by arm, and the bound for comparison. */
export interface MixedSimulation {
    arms: { [Name in ArmName]?: SimulatedArm; };
    /** Upper bound of the batch tokens over the whole simulated time. */
    boundTokens: number;
}
