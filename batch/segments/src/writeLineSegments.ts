import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { SegmentReference } from "./segmentReference.js";
import type { SegmentStore } from "./segmentStore.js";

const NEW_LINE = 0x0a;

/**
 * Stores a stream as segments that end at line ends. Holds one segment in memory at a time.
 *
 * Rejects with `LINE_TOO_LONG` for a line that does not fit into one segment.
 *
 * @returns the segments in order, shape [segments]
 */
export async function writeLineSegments(
    store: SegmentStore,
    content: AsyncIterable<Uint8Array>,
): Promise<SegmentReference[]> {
    const segments: SegmentReference[] = [];
    let pending: Buffer[] = [];
    let pendingBytes = 0;
    const flush = async (bytes: Buffer) => {
        const digest = await store.put(bytes);
        segments.push({ digest, sizeBytes: bytes.length, lineCount: countLines(bytes) });
    };
    for await (const chunk of content) {
        pending.push(Buffer.from(chunk));
        pendingBytes += chunk.length;
        while (pendingBytes > store.maxSegmentBytes) {
            const joined = Buffer.concat(pending);
            const end = joined.lastIndexOf(NEW_LINE, store.maxSegmentBytes - 1) + 1;
            if (end === 0) {
                throw lineTooLongError(store.maxSegmentBytes);
            }
            await flush(joined.subarray(0, end));
            pending = [joined.subarray(end)];
            pendingBytes = joined.length - end;
        }
    }
    if (pendingBytes > 0) {
        await flush(Buffer.concat(pending));
    }
    return segments;
}

function lineTooLongError(maxBytes: number): KnapweedError {
    return new KnapweedError("LINE_TOO_LONG", `A line is longer than ${maxBytes} bytes`, {
        statusCode: 413,
        outcome: "not-run",
    });
}

function countLines(bytes: Buffer): number {
    let count = 0;
    for (let index = bytes.indexOf(NEW_LINE); index !== -1; index = bytes.indexOf(NEW_LINE, index + 1)) {
        count++;
    }
    return bytes.at(-1) === NEW_LINE ? count : count + 1;
}
