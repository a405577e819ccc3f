import type { StepModel } from "@knapweedwood/standins.engine/stepModel";

/** Settings of a stand-in engine process. */
export interface MixedEngineSettings {
    port: number;
    seed: number;
    models: string[];
    stepModel: StepModel;
}
