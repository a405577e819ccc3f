/** The end of a process that nobody had asked for. */
export interface ExitRecord {
    process: string;
    atMs: number;
    code: number | null;
    signal: string | null;
}
