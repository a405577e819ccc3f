import type { Brand } from "./brand.js";

export type SegmentDigest = Brand<string, "SegmentDigest">;
