import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ErrorRecord } from "./errorRecord.js";

/** Rebuilds the error that the other end threw. */
export function fromErrorRecord(record: ErrorRecord): KnapweedError {
    const { code, message, ...optional } = record;
    const present = Object.entries(optional).filter(([, value]) => value !== undefined);
    return new KnapweedError(code, message, Object.fromEntries(present));
}
