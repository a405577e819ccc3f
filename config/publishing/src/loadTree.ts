import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ChunkReference } from "./chunkReference.js";
import type { ChunkSource } from "./chunkSource.js";
import type { ConfigurationRecord } from "./configurationRecord.js";
import type { ConfigurationRoot } from "./configurationRoot.js";
import { ConfigurationTree } from "./configurationTree.js";
import { isChunkIntact } from "./isChunkIntact.js";
import type { TreeBucket } from "./treeBucket.js";
import type { TreeGroup } from "./treeGroup.js";

/**
 * Builds the tree of `root`, fetching only the chunks that `known` lacks.
 * Throws `CHUNK_CORRUPT` where a chunk is not what its reference names.
 */
export async function loadTree(
    opts: { root: ConfigurationRoot; source: ChunkSource; known: ConfigurationTree; },
): Promise<ConfigurationTree> {
    const { root, source, known } = opts;
    const knownGroups = new Map(known.groups.map(group => [group.reference, group]));
    const knownBuckets = new Map(
        known.groups.flatMap(group => group.buckets).map(bucket => [bucket.reference, bucket]),
    );
    const emptyGroup = ConfigurationTree.empty.groups[0] as TreeGroup;
    knownGroups.set(emptyGroup.reference, emptyGroup);
    knownBuckets.set(emptyGroup.reference, emptyGroup.buckets[0] as TreeBucket);

    const missingGroups = root.groups.filter(reference => !knownGroups.has(reference));
    const groupTexts = await fetchIntact(source, missingGroups);
    const indexes = new Map(missingGroups.map((reference, index) => [
        reference,
        JSON.parse(groupTexts[index] as string) as ChunkReference[],
    ]));
    const missingBuckets = [...indexes.values()].flat().filter(reference => !knownBuckets.has(reference));
    const bucketTexts = await fetchIntact(source, missingBuckets);
    missingBuckets.forEach((reference, index) => {
        const records = JSON.parse(bucketTexts[index] as string) as ConfigurationRecord[];
        knownBuckets.set(reference, { reference, records });
    });
    const groups = root.groups.map(reference =>
        knownGroups.get(reference) ?? {
            reference,
            buckets: (indexes.get(reference) ?? []).map(bucket => knownBuckets.get(bucket) as TreeBucket),
        }
    );
    return verified(new ConfigurationTree(groups), root);
}

async function fetchIntact(source: ChunkSource, references: ChunkReference[]): Promise<string[]> {
    const texts = references.length === 0 ? [] : await source.fetch(references);
    references.forEach((reference, index) => {
        const text = texts[index];
        if (text === undefined || !isChunkIntact(reference, text)) {
            throw new KnapweedError("CHUNK_CORRUPT", `Chunk ${reference} is not what its reference names`);
        }
    });
    return texts;
}

function verified(tree: ConfigurationTree, root: ConfigurationRoot): ConfigurationTree {
    if (tree.digest() !== root.digest) {
        throw new KnapweedError("CHUNK_CORRUPT", `Revision ${String(root.revision)} does not match its digest`);
    }
    return tree;
}
