import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { Revision } from "@knapweedwood/core.ids/revision";
import type { ChunkReference } from "./chunkReference.js";

const DIGEST_CHARACTERS = 32;

/** Returns the reference of a chunk that has this text and is written by `revision`. */
export function chunkReferenceOf(text: string, revision: Revision): ChunkReference {
    return `${digestOf(text).slice(0, DIGEST_CHARACTERS)}@${String(revision)}` as ChunkReference;
}
