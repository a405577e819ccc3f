import type { Clock } from "@knapweedwood/core.clock/clock";
import type { KeyValueCompare } from "./keyValueCompare.js";
import type { KeyValueOperation } from "./keyValueOperation.js";
import type { KeyValueService } from "./keyValueService.js";

/** A transaction to settle. */
export interface SettleTransactionOptions {
    service: KeyValueService;
    clock: Clock;
    compares: KeyValueCompare[];
    operations: KeyValueOperation[];
    /** A key that is compared and put; its value is one that nobody else writes. */
    witnessKey: string;
    /** How often to try again after the first attempt. */
    maxRetries?: number;
    retryDelayMs?: number;
}
