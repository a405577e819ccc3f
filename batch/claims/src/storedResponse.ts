import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

/** Recorded response, as it is stored in the claim log. */
export interface StoredResponse {
    statusCode: number;
    headers: { [name: string]: string; };
    /** Body in base64; undefined if the body is stored in a segment. */
    body: string | undefined;
    /** Digest of the segment that stores the body; undefined if the body is stored here. */
    bodyDigest: SegmentDigest | undefined;
}
