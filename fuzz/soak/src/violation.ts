/** A promise that was broken, with what shows it. */
export interface Violation {
    promise: string;
    detail: string;
}
