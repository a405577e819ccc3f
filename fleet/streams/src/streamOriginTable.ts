import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { StreamOrigin } from "./streamOrigin.js";

/** Time for which an origin is kept at least, in milliseconds. It exceeds the time in which callers finish a stream. */
const RETENTION_MS = 60_000;
/** Number of origins after which older ones are dropped early. */
const MAX_ORIGINS = 50_000;

/** The origins of streams that this process knows, in two generations: the older one is dropped as a whole. */
export class StreamOriginTable {
    private recent = new Map<RequestId, StreamOrigin>();
    private older = new Map<RequestId, StreamOrigin>();
    private rotatedAtMs = -Infinity;

    /** Adds an origin. The first one of a request stays, since its events have been sent. */
    add(requestId: RequestId, origin: StreamOrigin, nowMs: number): void {
        this.rotate(nowMs);
        this.recent.set(requestId, this.recent.get(requestId) ?? this.older.get(requestId) ?? origin);
    }

    get(requestId: RequestId): StreamOrigin | undefined {
        return this.recent.get(requestId) ?? this.older.get(requestId);
    }

    private rotate(nowMs: number): void {
        if (nowMs >= this.rotatedAtMs + RETENTION_MS || this.recent.size >= MAX_ORIGINS) {
            this.rotatedAtMs = nowMs;
            this.older = this.recent;
            this.recent = new Map();
        }
    }
}
