import type { StepModel } from "@knapweedwood/standins.engine/stepModel";
import type { ArmName } from "./armName.js";

/** Options of the experiment with online and batch work on one fleet. */
export interface MixedOptions {
    /** Folder for settings and log files of the processes. */
    folder: string;
    seed: number;
    /** Length of the whole run, about. */
    durationMs: number;
    engineCount?: number;
    stepModel?: StepModel;
    tokenGapObjectiveMs?: number;
    batchBalance?: number;
    /** Port on this machine that the sides send their metrics to. */
    metricsPort?: number;
    /** The arms to run; all where undefined. */
    arms?: ArmName[];
}
