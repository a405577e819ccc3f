import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

/** A recorded answer as a claim's log holds it. */
export interface StoredResponse {
    statusCode: number;
    headers: { [name: string]: string; };
    /** Base64; undefined where the body stands in a segment. */
    body: string | undefined;
    bodyDigest: SegmentDigest | undefined;
}
