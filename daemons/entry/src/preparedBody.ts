/** A request body that is ready to be sent to a side, either inline or as a stream. */
export interface PreparedBody {
    /** The whole body if it is sent inline; undefined if it is streamed or there is none. */
    bytes: Uint8Array | undefined;
    /** Id of the body if it is streamed. */
    bodyId: string | undefined;
    /** Whether a side has started to read a streamed body, which can't be sent again after that. */
    hasReadStarted(): boolean;
    /** Discards a streamed body if no side has started to read it. */
    release(): void;
}
