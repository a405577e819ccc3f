/** Where completions are asked for. */
export interface ChatTarget {
    /** Base URLs, called in turn, shape [servers]. */
    baseUrls: string[];
    /** Bearer key; none where undefined. */
    key?: string;
}
