/** A broken promise, with the evidence. */
export interface Violation {
    promise: string;
    detail: string;
}
