import type { Clock } from "@knapweedwood/core.clock/clock";
import type { StepModel } from "./stepModel.js";

/** Options of a stand-in engine. */
export interface EngineServerOptions {
    clock: Clock;
    seed: number;
    /** Models that are loaded from the start. */
    models: { model: string; version: string; }[];
    /** Whether orders with an old fencing number are refused. */
    checksFencing: boolean;
    /** Accepts orders and carries none out, for experiments in which several sides share an engine. */
    ignoresOrders?: boolean;
    stepModel?: Partial<StepModel>;
    /** How long an order to load a model or an adapter takes. */
    loadDurationMs?: number;
    /** Versions that never become ready. */
    unhealthyVersions?: string[];
    /** How late cache events are published. */
    cacheEventDelayMs?: number;
    /** Share in [0, 1] of cache events that are never published. */
    cacheEventLossShare?: number;
    /** Grows with each start of the engine. */
    incarnation?: number;
}
