import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { ChunkReference } from "./chunkReference.js";

/** Whether `text` is what `reference` names. */
export function isChunkIntact(reference: ChunkReference, text: string): boolean {
    const digest = reference.slice(0, reference.indexOf("@"));
    return digest.length > 0 && digestOf(text).startsWith(digest);
}
