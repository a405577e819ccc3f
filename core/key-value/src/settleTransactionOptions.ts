import type { Clock } from "@knapweedwood/core.clock/clock";
import type { KeyValueCompare } from "./keyValueCompare.js";
import type { KeyValueOperation } from "./keyValueOperation.js";
import type { KeyValueService } from "./keyValueService.js";

/** Options of {@link settleTransaction}. */
export interface SettleTransactionOptions {
    service: KeyValueService;
    clock: Clock;
    compares: KeyValueCompare[];
    operations: KeyValueOperation[];
    /** A key that the transaction compares and puts. No other writer puts the same value. */
    witnessKey: string;
    /** Number of retries after the first attempt. */
    maxRetries?: number;
    retryDelayMs?: number;
}
