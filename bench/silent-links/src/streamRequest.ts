/** Request of {@link streamCall}. */
export interface StreamRequest {
    callId: number;
    frameCount: number;
    /** Time before each frame. */
    gapMs: number;
}
