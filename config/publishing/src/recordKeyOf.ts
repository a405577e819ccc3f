import type { ConfigurationRecord } from "./configurationRecord.js";
import type { RecordKey } from "./recordKey.js";

/** Returns the key of `record`. */
export function recordKeyOf(record: ConfigurationRecord): RecordKey {
    switch (record.kind) {
        case "service":
            return `service/${record.service.name}` as RecordKey;
        case "team":
            return `team/${record.team.teamId}` as RecordKey;
        case "key":
            return `key/${record.key.keyId}` as RecordKey;
    }
}
