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
 * Builds the tree of `root`. Fetches only the chunks that `cached` lacks. A record never changes its position in the
 * tree, so groups and buckets are compared with those at the same position.
 * Rejects with `CHUNK_CORRUPT` if a chunk does not match its reference, or the tree does not match the root's digest.
 */
export async function loadTree(
    opts: { root: ConfigurationRoot; source: ChunkSource; cached: ConfigurationTree; },
): Promise<ConfigurationTree> {
    const { root, source, cached } = opts;
    const bucketReferences = await fetchBucketReferences(opts);
    const buckets = await fetchBuckets(source, missingBucketReferences(bucketReferences, cached));
    const groups = root.groups.map((reference, groupIndex): TreeGroup => {
        const references = bucketReferences.get(groupIndex);
        const before = cached.groups[groupIndex] as TreeGroup;
        return references === undefined
            ? reusableGroup(reference, before)
            : {
                reference,
                buckets: references.map((bucketReference, bucketIndex) =>
                    bucketOf(bucketReference, before.buckets[bucketIndex], buckets)
                ),
            };
    });
    return verifyDigest(new ConfigurationTree(groups), root);
}

/** Fetches the group chunks that `cached` lacks. Returns their bucket references by group index. */
async function fetchBucketReferences(
    opts: { root: ConfigurationRoot; source: ChunkSource; cached: ConfigurationTree; },
): Promise<Map<number, ChunkReference[]>> {
    const missing = opts.root.groups
        .map((reference, groupIndex) => ({ reference, groupIndex }))
        .filter(({ reference, groupIndex }) =>
            reference !== "" && reference !== opts.cached.groups[groupIndex]?.reference
        );
    const texts = await fetchIntact(opts.source, missing.map(({ reference }) => reference));
    return new Map(
        missing.map(({ groupIndex }, index) => [groupIndex, JSON.parse(texts[index] as string) as ChunkReference[]]),
    );
}

function missingBucketReferences(
    bucketReferences: Map<number, ChunkReference[]>,
    cached: ConfigurationTree,
): ChunkReference[] {
    return [...bucketReferences.entries()].flatMap(([groupIndex, references]) =>
        references.filter((reference, bucketIndex) =>
            reference !== "" && reference !== cached.groups[groupIndex]?.buckets[bucketIndex]?.reference
        )
    );
}

async function fetchBuckets(
    source: ChunkSource,
    references: ChunkReference[],
): Promise<Map<ChunkReference, TreeBucket>> {
    const texts = await fetchIntact(source, references);
    return new Map(references.map((reference, index) => [
        reference,
        { reference, records: JSON.parse(texts[index] as string) as ConfigurationRecord[] },
    ]));
}

function reusableGroup(reference: ChunkReference, before: TreeGroup): TreeGroup {
    return reference === before.reference ? before : ConfigurationTree.empty.groups[0] as TreeGroup;
}

function bucketOf(
    reference: ChunkReference,
    before: TreeBucket | undefined,
    fetched: Map<ChunkReference, TreeBucket>,
): TreeBucket {
    return fetched.get(reference) ?? (before?.reference === reference ? before : { reference, records: [] });
}

async function fetchIntact(source: ChunkSource, references: ChunkReference[]): Promise<string[]> {
    const texts = references.length === 0 ? [] : await source.fetch(references);
    references.forEach((reference, index) => {
        const text = texts[index];
        if (text === undefined || !isChunkIntact(reference, text)) {
            throw new KnapweedError("CHUNK_CORRUPT", `Chunk ${reference} does not match the digest in its reference`);
        }
    });
    return texts;
}

function verifyDigest(tree: ConfigurationTree, root: ConfigurationRoot): ConfigurationTree {
    if (tree.digest() !== root.digest) {
        throw new KnapweedError("CHUNK_CORRUPT", `Revision ${String(root.revision)} does not match its digest`);
    }
    return tree;
}
