import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Logger } from "@knapweedwood/observability.logs/logger";

/** What tests may change about a simulation, mutants among it. */
export interface SimulationOptions {
    /** Wraps the key-value service of each instance. */
    wrapKeyValue: (keyValue: KeyValueService) => KeyValueService;
    /** Copies that an acknowledgement waits for. */
    copyCount: number | undefined;
    logger?: Logger;
    /** Whether a caller sends a claimed call again after an unknown outcome, as it must not. */
    retriesUnknown: boolean;
    /** Whether a side sends an item that may not be repeated again itself, as it must not. */
    repeatsItems: boolean;
    /** Whether a caller sends its call without waiting for the claim, as it must not. */
    skipsClaim: boolean;
    /** Whether a side reports its results only once, as it must not. */
    reportsOnce: boolean;
    /** Whether sides ignore cancels, as they must not. */
    ignoresCancel: boolean;
}
