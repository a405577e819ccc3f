import type { KeyedCalls } from "@knapweedwood/api.callers/keyedCalls";

/** Runs keyed calls without a claim. */
export const unclaimedCalls: KeyedCalls = { run: opts => opts.run() };
