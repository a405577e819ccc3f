import type { StepModel } from "@knapweedwood/standins.engine/stepModel";
import type { ArmName } from "./armName.js";

/** Options of the experiment with online and batch work on one fleet. */
export interface MixedOptions {
    /** Folder for the settings and log files of the processes. */
    folder: string;
    seed: number;
    /** Approximate length of the whole run. */
    durationMs: number;
    engineCount?: number;
    stepModel?: StepModel;
    tokenGapObjectiveMs?: number;
    batchBalance?: number;
    /** Port on this machine to which the sides send their metrics. */
    metricsPort?: number;
    /** Arms to run; all where undefined. */
    arms?: ArmName[];
}
