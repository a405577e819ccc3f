/** Options of {@link runCapacity}. */
export interface CapacityOptions {
    /** Where the report goes; nowhere where undefined. */
    jsonFile?: string | undefined;
    /** The page whose tables are filled; left alone where undefined. */
    pageFile?: string | undefined;
    /** Fewer and smaller sizes, for a first look. */
    isQuick?: boolean | undefined;
    /** Told of each step. */
    onProgress?: ((message: string) => void) | undefined;
}
