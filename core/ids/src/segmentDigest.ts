import type { Brand } from "./brand.js";

/** SHA-256 digest of a segment's bytes, in hexadecimal. */
export type SegmentDigest = Brand<string, "SegmentDigest">;
