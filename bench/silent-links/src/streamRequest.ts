/** Asks for a stream of frames. */
export interface StreamRequest {
    callId: number;
    frameCount: number;
    gapMs: number;
}
