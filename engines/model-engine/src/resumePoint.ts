/** Where a generation goes on. */
export interface ResumePoint {
    /** Text produced so far. */
    text: string;
    /** Tokens produced so far. */
    tokenCount: number;
}
