import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Logger } from "@knapweedwood/observability.logs/logger";

/** Options of a simulation. Tests use them to break the protocol on purpose, as mutants. */
export interface SimulationOptions {
    /** Wraps the key-value service of each instance. */
    wrapKeyValue: (keyValue: KeyValueService) => KeyValueService;
    /** Copies of a segment to store before it is acknowledged; undefined for the store's default. */
    copyCount: number | undefined;
    logger?: Logger;
    /** Whether a caller repeats a claimed call after an unknown outcome, which the protocol forbids. */
    retriesUnknown: boolean;
    /** Whether a side repeats items itself, also non-repeatable ones, which the protocol forbids. */
    repeatsItems: boolean;
    /** Whether a caller runs its call before the claim is granted, which the protocol forbids. */
    skipsClaim: boolean;
    /** Whether a side doesn't wait until its report is received, which the protocol forbids. */
    reportsOnce: boolean;
    /** Whether sides ignore cancels, which the protocol forbids. */
    ignoresCancel: boolean;
}
