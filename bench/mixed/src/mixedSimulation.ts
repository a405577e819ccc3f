import type { ArmName } from "./armName.js";
import type { SimulatedArm } from "./simulatedArm.js";

/** Arms of a simulation, and the bound that they are compared with. */
export interface MixedSimulation {
    arms: { [Name in ArmName]?: SimulatedArm; };
    /** Batch tokens over the whole time. */
    boundTokens: number;
}
