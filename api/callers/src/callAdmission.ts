import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { Caller } from "./caller.js";
import type { CallUsage } from "./callUsage.js";

/** Applies the limits of teams and callers. */
export interface CallAdmission {
    /**
     * Admits a call, or throws `LIMIT_EXCEEDED` (429, not run) with the time to come back.
     *
     * @param opts.tokens tokens that the call may take at the most
     * @returns to be called once the call has ended, with what it used
     */
    admit(opts: { caller: Caller; service: ServiceDefinition; tokens: number; }): (used: CallUsage) => void;
}
