import type { Clock } from "@knapweedwood/core.clock/clock";
import type { StepModel } from "./stepModel.js";

/** Options of a stand-in engine. */
export interface EngineServerOptions {
    clock: Clock;
    seed: number;
    /** Models that are ready at the start. */
    models: { model: string; version: string; }[];
    /** Whether orders with a stale fencing number are rejected. */
    checksFencing: boolean;
    /** Whether orders are accepted without effect, for experiments in which several sides share an engine. */
    ignoresOrders?: boolean;
    stepModel?: Partial<StepModel>;
    /** Time from an order to load a model or an adapter until it is ready. */
    loadDurationMs?: number;
    /** Versions that fail to load. */
    unhealthyVersions?: string[];
    /** Delay of cache events. */
    cacheEventDelayMs?: number;
    /** Share in [0, 1] of cache events that are dropped. */
    cacheEventLossShare?: number;
    /** Incarnation that the engine reports. It increases with each start of the engine. */
    incarnation?: number;
}
