/** Settings of a stand-in engine process. */
export interface EngineSettings {
    port: number;
    seed: number;
    model: string;
}
