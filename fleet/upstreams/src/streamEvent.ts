/** One event of a server-sent event stream. */
export interface StreamEvent {
    /** Increases within a stream; undefined if the event has no numeric id. */
    id: number | undefined;
    /** Data lines, joined by line feeds. */
    data: string;
    /** The event as received, including the blank line that ends it. */
    bytes: Buffer;
    /** Whether it has bytes, but no field of an event and no comment, so that it is no event. */
    isForeign: boolean;
}
