import type { ChunkReference } from "@knapweedwood/config.publishing/chunkReference";
import type { ConfigurationTree } from "@knapweedwood/config.publishing/configurationTree";

/** The chunks that `after` has and `before` lacks. */
export function chunksBeyond(
    before: ConfigurationTree,
    after: ConfigurationTree,
): { reference: ChunkReference; text: string; }[] {
    const known = new Set(before.groups.flatMap(group => [
        group.reference,
        ...group.buckets.map(bucket => bucket.reference),
    ]));
    return after.chunks(reference => !known.has(reference));
}
