import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/**
 * Returns the only frame of a call's response.
 *
 * Rejects with ERR_KNAPWEED_LINK_EMPTY_ANSWER, outcome `unknown`, where the call ends without a frame.
 */
export async function singleFrame<Frame>(frames: AsyncIterable<Frame>): Promise<Frame> {
    for await (const frame of frames) {
        return frame;
    }
    throw new KnapweedError("LINK_EMPTY_ANSWER", "The call ended without a frame", { outcome: "unknown" });
}
