/** The point at which a generation resumes. */
export interface ResumePoint {
    /** Text generated so far. */
    text: string;
    /** Number of tokens generated so far. */
    tokenCount: number;
}
