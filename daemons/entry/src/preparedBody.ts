/** A request body on its way to a side. */
export interface PreparedBody {
    /** The whole body, where it is small or there is none. */
    bytes: Uint8Array | undefined;
    /** Names the body, where it is streamed. */
    bodyId: string | undefined;
    /** Whether a side has begun to read a streamed body: it can't be sent a second time. */
    hasReadStarted(): boolean;
    release(): void;
}
