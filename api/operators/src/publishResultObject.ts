import type { PublishResult } from "@knapweedwood/config.publishing/publishResult";
import type { RecordDifference } from "@knapweedwood/config.publishing/recordDifference";
import { isDeepStrictEqual } from "node:util";

/** Returns a publish result as the API shows it, without the hashes of keys. */
export function publishResultObject(result: PublishResult): object {
    return {
        revision: result.revision,
        digest: result.digest,
        published: result.published,
        difference: result.difference.map(differenceObject),
    };
}

function differenceObject(difference: RecordDifference): object {
    const before = fieldsOf(difference.before);
    const after = fieldsOf(difference.after);
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])]
        .filter(name => name !== "keyHash" && !isDeepStrictEqual(before[name], after[name]));
    return {
        recordKey: difference.recordKey,
        kind: difference.kind,
        fields: names.map(name => ({ name, before: before[name], after: after[name] })),
    };
}

function fieldsOf(record: RecordDifference["before"]): { [name: string]: unknown; } {
    if (record === undefined) {
        return {};
    }
    switch (record.kind) {
        case "service":
            return { ...record.service };
        case "team":
            return { ...record.team };
        case "key":
            return { ...record.key };
    }
}
