import { commitTransaction } from "@knapweedwood/batch.records/commitTransaction";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import { segmentNotFoundError } from "./segmentNotFoundError.js";
import type { SegmentStore } from "./segmentStore.js";
import { verifySegment } from "./verifySegment.js";

const KEY_PREFIX = "/batch/segments/";
/** A value holds up to 1 MB. The rest is reserved for the transaction that contains it. */
const MAX_SEGMENT_BYTES = 900_000;

/** Stores segments in the key-value service, for deployments without a data folder. */
export class KeyValueSegmentStore implements SegmentStore {
    readonly maxSegmentBytes = MAX_SEGMENT_BYTES;
    readonly copyCount = 1;
    private readonly opts: { keyValue: KeyValueService; clock: Clock; random: Random; };

    constructor(opts: { keyValue: KeyValueService; clock: Clock; random: Random; }) {
        this.opts = opts;
    }

    async put(bytes: Uint8Array): Promise<SegmentDigest> {
        if (bytes.length > MAX_SEGMENT_BYTES) {
            throw new KnapweedError("SEGMENT_TOO_LARGE", `A segment of ${bytes.length} bytes is too large`);
        }
        const digest = digestOf(bytes);
        const key = KEY_PREFIX + digest;
        await commitTransaction({
            ...this.opts,
            compares: [{ key, modRevision: 0 }],
            operations: [{ kind: "put", key, value: bytes }],
        });
        return digest;
    }

    async get(digest: SegmentDigest): Promise<Uint8Array> {
        const entry = await this.opts.keyValue.get(KEY_PREFIX + digest);
        if (entry === undefined) {
            throw segmentNotFoundError(digest);
        }
        return verifySegment(digest, entry.value);
    }

    async remove(digest: SegmentDigest): Promise<void> {
        await this.opts.keyValue.transact([], [{ kind: "delete", key: KEY_PREFIX + digest }]);
    }

    async repair(digest: SegmentDigest): Promise<number> {
        return await this.opts.keyValue.get(KEY_PREFIX + digest) === undefined ? 0 : 1;
    }
}
