/** An event of a stream. */
export interface StreamEvent {
    /** Grows within a stream; undefined where the event bears none. */
    id: number | undefined;
    /** Lines of data, joined by line feeds. */
    data: string;
    /** The event as it came, with the blank line that ends it. */
    bytes: Buffer;
}
