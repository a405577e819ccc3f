import { isDeepStrictEqual } from "node:util";
import type { ConfigurationRecord } from "./configurationRecord.js";
import type { ConfigurationTree } from "./configurationTree.js";
import type { RecordDifference } from "./recordDifference.js";
import type { RecordKey } from "./recordKey.js";
import { recordKeyOf } from "./recordKeyOf.js";

/** Returns the records that differ between two trees, in key order. Compares only buckets with different references. */
export function differenceOf(before: ConfigurationTree, after: ConfigurationTree): RecordDifference[] {
    return after.groups
        .flatMap((group, groupIndex) =>
            group.buckets.flatMap((bucket, bucketIndex) => {
                const earlier = before.groups[groupIndex]?.buckets[bucketIndex];
                return earlier === undefined || earlier.reference === bucket.reference
                    ? []
                    : differenceOfRecords(earlier.records, bucket.records);
            })
        )
        .sort((left, right) => left.recordKey < right.recordKey ? -1 : 1);
}

function differenceOfRecords(
    before: readonly ConfigurationRecord[],
    after: readonly ConfigurationRecord[],
): RecordDifference[] {
    const earlier = new Map(before.map(record => [recordKeyOf(record), record]));
    const later = new Map(after.map(record => [recordKeyOf(record), record]));
    return [...new Set([...earlier.keys(), ...later.keys()])]
        .map(recordKey => ({ recordKey, before: earlier.get(recordKey), after: later.get(recordKey) }))
        .filter(pair => !isDeepStrictEqual(toPlainJson(pair.before), toPlainJson(pair.after)))
        .map(pair => ({ ...pair, kind: kindOf(pair) }));
}

function kindOf(pair: { recordKey: RecordKey; before: unknown; after: unknown; }): RecordDifference["kind"] {
    if (pair.before === undefined) {
        return "added";
    }
    return pair.after === undefined ? "removed" : "changed";
}

function toPlainJson(record: ConfigurationRecord | undefined): unknown {
    return record === undefined ? undefined : JSON.parse(JSON.stringify(record));
}
