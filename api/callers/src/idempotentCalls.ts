import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Caller } from "./caller.js";
import type { RecordedResponse } from "./recordedResponse.js";

/** Runs calls with an idempotency key at most once, whichever entry they come to. */
export interface IdempotentCalls {
    /**
     * Claims the key and runs the call, or returns the response that was recorded earlier.
     *
     * Throws `IDEMPOTENCY_KEY_REUSED` (422) where the key came with another request, `CALL_IN_PROGRESS` (409), or
     * an error with outcome `unknown` if the outcome of the first run can't be determined.
     */
    run(opts: {
        caller: Caller;
        service: ServiceName;
        idempotencyKey: string;
        /** Digest of the path and body, and for plain services of the method too. */
        requestDigest: string;
        /** Longest time that the call may run. */
        timeoutMs: number;
        run: () => Promise<RecordedResponse>;
    }): Promise<RecordedResponse>;
}
