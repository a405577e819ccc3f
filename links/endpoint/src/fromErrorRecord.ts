import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ErrorRecord } from "./errorRecord.js";

/** Restores the error of a record that the peer sent. Leaves out undefined fields. */
export function fromErrorRecord(record: ErrorRecord): KnapweedError {
    const { code, message, ...optional } = record;
    const present = Object.entries(optional).filter(([, value]) => value !== undefined);
    return new KnapweedError(code, message, Object.fromEntries(present));
}
