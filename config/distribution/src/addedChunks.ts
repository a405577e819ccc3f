import type { ChunkReference } from "@knapweedwood/config.publishing/chunkReference";
import type { ConfigurationTree } from "@knapweedwood/config.publishing/configurationTree";

/** Returns the chunks of `after` that differ from those at the same position in `before`. */
export function addedChunks(
    before: ConfigurationTree,
    after: ConfigurationTree,
): { reference: ChunkReference; text: string; }[] {
    const wanted = new Set(
        after.groups.flatMap((group, groupIndex) => {
            const earlier = before.groups[groupIndex];
            return group === earlier
                ? []
                : [group, ...group.buckets]
                    .filter((part, index) =>
                        part.reference !== (index === 0 ? earlier : earlier?.buckets[index - 1])?.reference
                    )
                    .map(part => part.reference);
        }),
    );
    return after.chunks(reference => wanted.has(reference));
}
