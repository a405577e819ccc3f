import type { StepModel } from "@knapweedwood/standins.engine/stepModel";
import type { ArmName } from "./armName.js";

/** Options of the experiment with online and batch work on one fleet. */
export interface MixedOptions {
    /** Folder for the settings and log files of the processes. */
    folder: string;
    seed: number;
    /** Approximate length of the whole run. */
    durationMs: number;
    /** Number of engines; 6 by default. */
    engineCount?: number;
    /** Step costs of the engines; `benchStepModel` by default. */
    stepModel?: StepModel;
    /** Objective of the services for the gap between tokens; 70 by default. */
    tokenGapObjectiveMs?: number;
    /** Share of the range up to the objective that batch work may fill, in [0, 1]; 1 by default. */
    batchBalance?: number;
    /** Loopback port to which the sides send their metrics; they send none where undefined. */
    metricsPort?: number;
    /** Arms to run; all where undefined. */
    arms?: ArmName[];
}
