import type { StepModel } from "@knapweedwood/standins.engine/stepModel";

/** Settings of an engine process of the experiment. */
export interface EngineSettings {
    port: number;
    seed: number;
    models: string[];
    stepModel: StepModel;
}
