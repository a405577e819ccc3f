import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { Caller } from "./caller.js";
import type { CallUsage } from "./callUsage.js";

/** Enforces the limits of teams and callers. */
export interface CallAdmission {
    /**
     * Admits a call. Throws `LIMIT_EXCEEDED` (429, not run) with the time after which the caller may retry.
     *
     * @param opts.tokens estimate of the tokens that the call will use, prompt and completion together
     * @returns a function to call once the call has ended, with its usage
     */
    admit(opts: { caller: Caller; service: ServiceDefinition; tokens: number; }): (used: CallUsage) => void;
}
