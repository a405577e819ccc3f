import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { ChunkReference } from "./chunkReference.js";

/** Returns whether the digest of `text` matches `reference`. */
export function isChunkIntact(reference: ChunkReference, text: string): boolean {
    const digest = reference.slice(0, reference.indexOf("@"));
    return digest.length > 0 && digestOf(text).startsWith(digest);
}
