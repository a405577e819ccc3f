import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** The one frame of a call that answers with exactly one. */
export async function singleFrame<Frame>(frames: AsyncIterable<Frame>): Promise<Frame> {
    for await (const frame of frames) {
        return frame;
    }
    throw new KnapweedError("LINK_EMPTY_ANSWER", "The call ended without a frame", { outcome: "unknown" });
}
