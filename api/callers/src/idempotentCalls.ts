import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Caller } from "./caller.js";
import type { RecordedResponse } from "./recordedResponse.js";

/** Runs each call with an idempotency key at most once, whichever entry receives it. */
export interface IdempotentCalls {
    /**
     * Claims the key and runs the call, or returns the response that was recorded earlier.
     *
     * Rejects with `IDEMPOTENCY_KEY_REUSED` (422) if the key was used with a different request, and with
     * `CALL_IN_PROGRESS` (409) if the call is still running. Rejects with outcome `unknown` if the outcome of the first
     * run can't be determined.
     */
    run(opts: {
        caller: Caller;
        service: ServiceName;
        idempotencyKey: string;
        /** Digest of the path and body, and for plain services of the method too. */
        requestDigest: string;
        /** Longest time that the call may run, in milliseconds. */
        timeoutMs: number;
        run: () => Promise<RecordedResponse>;
    }): Promise<RecordedResponse>;
}
