/**
 * Collects all frames of a call. Rejects with the error of the call.
 *
 * @returns the frames in order, shape [frames]
 */
export async function collectFrames<Frame>(frames: AsyncIterable<Frame>): Promise<Frame[]> {
    const collected: Frame[] = [];
    for await (const frame of frames) {
        collected.push(frame);
    }
    return collected;
}
