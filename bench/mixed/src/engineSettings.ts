import type { StepModel } from "@knapweedwood/standins.engine/stepModel";

/** Settings of a stand-in engine process. */
export interface EngineSettings {
    port: number;
    seed: number;
    models: string[];
    stepModel: StepModel;
}
