import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { RequestCounts } from "./requestCounts.js";

/** Counts the requests of an engine by their markers, for audits. */
export class RequestCounter {
    private readonly counts = new Map<string, RequestCounts>();

    count(marker: string, event: keyof RequestCounts): void {
        const counts = this.counts.get(marker) ?? { started: 0, finished: 0, cancelled: 0 };
        counts[event] += 1;
        this.counts.set(marker, counts);
    }

    /** Returns all counts by marker. */
    toJson(): { [marker: string]: RequestCounts; } {
        return Object.fromEntries(this.counts);
    }

    /** Returns the marker of a request: its `metadata.marker`, or else its `user`, or else `unmarked`. */
    static markerOf(body: JsonObject): string {
        const metadata = body.metadata as { marker?: unknown; } | undefined | null;
        return String(metadata?.marker ?? body.user ?? "unmarked");
    }
}
