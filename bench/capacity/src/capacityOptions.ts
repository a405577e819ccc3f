/** Options of {@link runCapacity}. */
export interface CapacityOptions {
    /** File for the report as JSON; not written if undefined. */
    jsonFile?: string | undefined;
    /** Markdown page whose tables are updated; not changed if undefined. */
    pageFile?: string | undefined;
    /** Measures at smaller sizes and for a shorter time, for a first estimate. */
    isQuick?: boolean | undefined;
    /** Called with a message at each step. */
    onProgress?: ((message: string) => void) | undefined;
}
