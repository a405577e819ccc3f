import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Caller } from "./caller.js";
import type { RecordedResponse } from "./recordedResponse.js";

/** Runs calls with an idempotency key at most once, whichever entries receive them. */
export interface IdempotentCalls {
    /**
     * Claims the key and runs the call, or returns the response that was recorded earlier.
     *
     * Rejects with:
     * - `IDEMPOTENCY_KEY_REUSED` (422) if the key was used for a different request
     * - `CALL_IN_PROGRESS` (409) if a call with this key is running
     * - an error with outcome `unknown` if the outcome of the first run can't be determined
     * - the error of `run`
     */
    run(opts: {
        caller: Caller;
        service: ServiceName;
        idempotencyKey: string;
        /** Digest of the path and the body; for plain services also of the method. */
        requestDigest: string;
        /** Maximum duration of the call. */
        timeoutMs: number;
        run: () => Promise<RecordedResponse>;
    }): Promise<RecordedResponse>;
}
