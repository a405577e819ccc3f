import type { OwnedPartition } from "@knapweedwood/batch.ownership/ownedPartition";
import { partitionKeys } from "@knapweedwood/batch.ownership/partitionKeys";
import { commitTransaction } from "@knapweedwood/batch.records/commitTransaction";
import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { ClaimLogEntry } from "./claimLogEntry.js";
import type { ClaimTable } from "./claimTable.js";

const SEQUENCE_DIGITS = 12;
const LIST_LIMIT_PAGES = 50;
const MIN_PAGES_TO_MERGE = 32;
const SMALL_PAGE_BYTES = 64_000;
const MAX_MERGED_PAGE_BYTES = 900_000;

interface LogPage {
    sequenceNumber: number;
    sizeBytes: number;
    entries: ClaimLogEntry[];
}

interface PageRecord {
    writeId: string;
    entries: ClaimLogEntry[];
}

interface ClaimLogOptions {
    shardId: PartitionId;
    keyValue: KeyValueService;
    clock: Clock;
    random: Random;
    /** Returns the proof of ownership; undefined while this instance must not commit. */
    ownedPartition: () => OwnedPartition | undefined;
}

/** Log of a shard of claims, as pages in the key-value service. Appends use the owner's fencing number. */
export class ClaimLog {
    private readonly opts: ClaimLogOptions;
    private readonly prefix: string;
    private pages: LogPage[] = [];

    constructor(opts: ClaimLogOptions) {
        this.opts = opts;
        this.prefix = `/claims/log/${opts.shardId}/`;
    }

    /** Reads all pages. @returns the entries in log order, shape [entries] */
    async load(): Promise<ClaimLogEntry[]> {
        const pages: LogPage[] = [];
        let afterKey: string | undefined;
        do {
            const found = await this.opts.keyValue.list(this.prefix, { limit: LIST_LIMIT_PAGES, afterKey });
            pages.push(...found.map(entry => ({
                sequenceNumber: Number(entry.key.slice(this.prefix.length)),
                sizeBytes: entry.value.length,
                entries: decodeRecord<PageRecord>(entry.value).entries,
            })));
            afterKey = found.length === LIST_LIMIT_PAGES ? found.at(-1)?.key : undefined;
        }
        while (afterKey !== undefined);
        this.pages = pages;
        return pages.flatMap(page => page.entries);
    }

    /** Appends one page. @returns whether it was committed */
    async append(entries: ClaimLogEntry[]): Promise<boolean> {
        const sequenceNumber = (this.pages.at(-1)?.sequenceNumber ?? 0) + 1;
        const value = this.encode(entries);
        const key = this.keyOf(sequenceNumber);
        if (!await this.commit([{ kind: "put", key, value }], key)) {
            return false;
        }
        this.pages.push({ sequenceNumber, sizeBytes: value.length, entries });
        return true;
    }

    /** Merges small pages into one, drops entries that later entries replaced, and removes expired pages. */
    async compact(table: ClaimTable, expiredBeforeMs: number): Promise<void> {
        const expired = this.pages.filter(page => page.entries.every(entry => entry.atMs < expiredBeforeMs));
        const firstSmall = this.pages.findLastIndex(page => page.sizeBytes > SMALL_PAGE_BYTES) + 1;
        const small = this.pages.slice(firstSmall).filter(page => !expired.includes(page));
        const pagesToMerge = small.length < MIN_PAGES_TO_MERGE ? [] : leadingPagesThatFit(small);
        if (pagesToMerge.length + expired.length === 0) {
            return;
        }
        const mergedPages = pagesToMerge.slice(0, 1).map(page => {
            const entries = pagesToMerge.flatMap(other => other.entries).filter(entry => table.isCurrent(entry));
            return { sequenceNumber: page.sequenceNumber, entries, value: this.encode(entries) };
        });
        const removed = [...expired, ...pagesToMerge.slice(1)];
        const operations: KeyValueOperation[] = [
            ...mergedPages.map(page => ({
                kind: "put" as const,
                key: this.keyOf(page.sequenceNumber),
                value: page.value,
            })),
            ...removed.map(page => ({ kind: "delete" as const, key: this.keyOf(page.sequenceNumber) })),
        ];
        if (await this.commit(operations)) {
            const rest = this.pages.filter(page => !removed.includes(page) && !pagesToMerge.includes(page));
            this.pages = [...rest, ...mergedPages.map(page => ({ ...page, sizeBytes: page.value.length }))]
                .sort((left, right) => left.sequenceNumber - right.sequenceNumber);
        }
    }

    private async commit(operations: KeyValueOperation[], absentKey?: string): Promise<boolean> {
        const owned = this.opts.ownedPartition();
        if (owned === undefined) {
            return false;
        }
        const ownerKey = partitionKeys.owner("claims", this.opts.shardId);
        const result = await commitTransaction({
            ...this.opts,
            compares: [
                { key: ownerKey, modRevision: owned.modRevision },
                ...(absentKey === undefined ? [] : [{ key: absentKey, modRevision: 0 }]),
            ],
            operations,
        });
        return result.succeeded;
    }

    private encode(entries: ClaimLogEntry[]): Uint8Array {
        const writeId = `${this.opts.ownedPartition()?.fencingNumber ?? 0}-${this.opts.random.nextInteger(2 ** 31)}`;
        return encodeRecord({ writeId, entries } satisfies PageRecord);
    }

    private keyOf(sequenceNumber: number): string {
        return this.prefix + String(sequenceNumber).padStart(SEQUENCE_DIGITS, "0");
    }
}

function leadingPagesThatFit(pages: LogPage[]): LogPage[] {
    let sizeBytes = 0;
    const end = pages.findIndex(page => {
        sizeBytes += page.sizeBytes;
        return sizeBytes > MAX_MERGED_PAGE_BYTES;
    });
    return pages.slice(0, end === -1 ? undefined : end);
}
