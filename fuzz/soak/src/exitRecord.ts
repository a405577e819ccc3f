/** An exit of a process that the soak did not request. */
export interface ExitRecord {
    process: string;
    atMs: number;
    code: number | null;
    signal: string | null;
}
