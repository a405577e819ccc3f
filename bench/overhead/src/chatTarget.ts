/** Servers from which a client requests completions. */
export interface ChatTarget {
    /** Base URLs, called in turn, shape [servers]. */
    baseUrls: string[];
    /** Bearer key; requests carry none where undefined. */
    key?: string;
}
