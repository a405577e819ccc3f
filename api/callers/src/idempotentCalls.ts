import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Caller } from "./caller.js";
import type { RecordedResponse } from "./recordedResponse.js";

/** Runs calls with an idempotency key at most once, whichever entry they come to. */
export interface IdempotentCalls {
    /**
     * Claims the key and runs the call, or gives the answer recorded earlier.
     *
     * Throws `IDEMPOTENCY_KEY_REUSED` (422) where the key came with another request, `CALL_IN_PROGRESS` (409), or
     * an error with outcome `unknown` where the first run's outcome can't be known.
     */
    run(opts: {
        caller: Caller;
        service: ServiceName;
        idempotencyKey: string;
        /** Digest of the method, path and body. */
        requestDigest: string;
        /** Longest time that the call may run. */
        timeoutMs: number;
        run: () => Promise<RecordedResponse>;
    }): Promise<RecordedResponse>;
}
