import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { Revision } from "@knapweedwood/core.ids/revision";
import { changeKeyOf } from "./changeKeyOf.js";
import type { ChunkReference } from "./chunkReference.js";
import { chunkReferenceOf } from "./chunkReferenceOf.js";
import type { ConfigurationChange } from "./configurationChange.js";
import type { ConfigurationRecord } from "./configurationRecord.js";
import { groupBy } from "./groupBy.js";
import type { RecordKey } from "./recordKey.js";
import { recordKeyOf } from "./recordKeyOf.js";
import type { TreeBucket } from "./treeBucket.js";
import type { TreeChange } from "./treeChange.js";
import type { TreeGroup } from "./treeGroup.js";

const GROUP_COUNT = 32;
const BUCKETS_PER_GROUP = 32;
const DIGEST_CHARACTERS = 8;
const HEXADECIMAL = 16;
const NO_CHUNK = "" as ChunkReference;

/**
 * The records of one revision, in two levels of chunks: groups and buckets. A change of one record writes one bucket
 * and one group, however many records there are. Immutable. Revisions share the parts that did not change.
 */
export class ConfigurationTree {
    static readonly empty = new ConfigurationTree(Array.from({ length: GROUP_COUNT }, () => emptyGroup()));

    /** Shape [GROUP_COUNT]. */
    readonly groups: readonly TreeGroup[];

    constructor(groups: readonly TreeGroup[]) {
        this.groups = groups;
    }

    /** Returns the references of the groups, shape [GROUP_COUNT]. */
    groupReferences(): ChunkReference[] {
        return this.groups.map(group => group.reference);
    }

    digest(): string {
        return digestOf(JSON.stringify(this.groupReferences()));
    }

    records(): ConfigurationRecord[] {
        return this.groups.flatMap(group => group.buckets.flatMap(bucket => bucket.records));
    }

    record(key: RecordKey): ConfigurationRecord | undefined {
        const { groupIndex, bucketIndex } = positionOf(key);
        return this.groups[groupIndex]?.buckets[bucketIndex]?.records.find(record => recordKeyOf(record) === key);
    }

    /** Returns the chunks whose references satisfy `isWanted`. All groups come before the buckets. */
    chunks(isWanted: (reference: ChunkReference) => boolean): { reference: ChunkReference; text: string; }[] {
        const isPresent = (part: { reference: ChunkReference; }) =>
            part.reference !== NO_CHUNK && isWanted(part.reference);
        const groups = this.groups
            .filter(isPresent)
            .map(group => ({ reference: group.reference, text: groupText(group.buckets) }));
        const buckets = this.groups
            .flatMap(group => group.buckets)
            .filter(isPresent)
            .map(bucket => ({ reference: bucket.reference, text: bucketText(bucket.records) }));
        return [...groups, ...buckets];
    }

    /** Returns the tree after `changes`. If several changes affect one record, the last one wins. */
    apply(changes: readonly ConfigurationChange[], revision: Revision): TreeChange {
        const changesByGroup = groupBy(changes, change => positionOf(changeKeyOf(change)).groupIndex);
        const written: TreeChange["written"] = [];
        const replaced: ChunkReference[] = [];
        const replaceChunk = (oldReference: ChunkReference, text: string, isEmpty: boolean): ChunkReference => {
            replaced.push(...(oldReference === NO_CHUNK ? [] : [oldReference]));
            if (isEmpty) {
                return NO_CHUNK;
            }
            const reference = chunkReferenceOf(text, revision);
            written.push({ reference, text });
            return reference;
        };
        const groups = this.groups.map((group, groupIndex) => {
            const groupChanges = changesByGroup.get(groupIndex);
            return groupChanges === undefined ? group : applyToGroup(group, groupChanges, replaceChunk);
        });
        return { tree: new ConfigurationTree(groups), written, replaced };
    }
}

type ReplaceChunk = (oldReference: ChunkReference, text: string, isEmpty: boolean) => ChunkReference;

function applyToGroup(group: TreeGroup, changes: ConfigurationChange[], replaceChunk: ReplaceChunk): TreeGroup {
    const changesByBucket = groupBy(changes, change => positionOf(changeKeyOf(change)).bucketIndex);
    const buckets = group.buckets.map((bucket, bucketIndex) => {
        const bucketChanges = changesByBucket.get(bucketIndex);
        return bucketChanges === undefined ? bucket : applyToBucket(bucket, bucketChanges, replaceChunk);
    });
    const isEmpty = buckets.every(bucket => bucket.reference === NO_CHUNK);
    return { buckets, reference: replaceChunk(group.reference, groupText(buckets), isEmpty) };
}

function applyToBucket(bucket: TreeBucket, changes: ConfigurationChange[], replaceChunk: ReplaceChunk): TreeBucket {
    const recordsByKey = new Map(bucket.records.map(record => [recordKeyOf(record), record]));
    changes.forEach(change =>
        change.kind === "put"
            ? recordsByKey.set(changeKeyOf(change), change.record)
            : recordsByKey.delete(change.recordKey)
    );
    const records = [...recordsByKey.entries()]
        .sort(([left], [right]) => left < right ? -1 : 1)
        .map(([, record]) => record);
    return { records, reference: replaceChunk(bucket.reference, bucketText(records), records.length === 0) };
}

function positionOf(key: RecordKey): { groupIndex: number; bucketIndex: number; } {
    const hash = parseInt(digestOf(key).slice(0, DIGEST_CHARACTERS), HEXADECIMAL);
    return {
        groupIndex: hash % GROUP_COUNT,
        bucketIndex: Math.floor(hash / GROUP_COUNT) % BUCKETS_PER_GROUP,
    };
}

function groupText(buckets: readonly TreeBucket[]): string {
    return JSON.stringify(buckets.map(bucket => bucket.reference));
}

function bucketText(records: readonly ConfigurationRecord[]): string {
    return JSON.stringify(records);
}

function emptyGroup(): TreeGroup {
    return {
        reference: NO_CHUNK,
        buckets: Array.from({ length: BUCKETS_PER_GROUP }, () => ({ reference: NO_CHUNK, records: [] })),
    };
}
