/** Settings of a stand-in engine's process. */
export interface EngineSettings {
    port: number;
    seed: number;
    model: string;
}
