import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { Link } from "@knapweedwood/links.calls/link";
import type { CallRecord } from "./callRecord.js";
import { streamCall } from "./streamCall.js";
import type { StreamRequest } from "./streamRequest.js";

/** Makes one call and checks each of its frames. Records an error as its outcome instead of rejecting. */
export async function runCall(link: Link, linkIndex: number, request: StreamRequest): Promise<CallRecord> {
    const startedMs = performance.now();
    let frameCount = 0;
    let handlerMs = 0;
    let isCorrect = true;
    const toRecord = (outcome: CallRecord["outcome"]): CallRecord => {
        const endedMs = performance.now();
        return { linkIndex, startedMs, endedMs, addedMs: endedMs - startedMs - handlerMs, outcome };
    };
    try {
        for await (const frame of link.call(streamCall, request)) {
            isCorrect &&= frame.callId === request.callId && frame.index === frameCount && frame.runCount === 1;
            handlerMs = frame.elapsedMs;
            frameCount += 1;
        }
        return toRecord(isCorrect && frameCount === request.frameCount ? "complete" : "wrong");
    }
    catch (error) {
        return toRecord(toKnapweedError(error).outcome === "not-run" ? "not-run" : "unknown");
    }
}
