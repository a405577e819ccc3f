import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import type { CallDefinition } from "@knapweedwood/links.calls/callDefinition";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import { getSegmentCall } from "./getSegmentCall.js";
import { hasSegmentCall } from "./hasSegmentCall.js";
import { putSegmentCall } from "./putSegmentCall.js";
import { removeSegmentCall } from "./removeSegmentCall.js";
import type { SegmentHolder } from "./segmentHolder.js";
import { segmentNotFoundError } from "./segmentNotFoundError.js";
import type { SegmentStore } from "./segmentStore.js";
import { verifySegment } from "./verifySegment.js";

const DEFAULT_COPY_COUNT = 2;
const CALL_TIMEOUT_MS = 10_000;
const MAX_SEGMENT_BYTES = 1_000_000;

interface ReplicatedSegmentStoreOptions {
    instanceId: InstanceId;
    endpoint: LinkEndpoint;
    /** Store in this instance's own data folder; undefined if it has none. */
    local: SegmentStore | undefined;
    /** Returns the live instances with a data folder, including this one if it has one. */
    holders: () => SegmentHolder[];
    /** Number of copies, each in a different zone, that are stored before a segment is acknowledged. */
    copyCount?: number;
}

/** Stores each segment as synced copies in different availability zones, two by default. */
export class ReplicatedSegmentStore implements SegmentStore {
    readonly maxSegmentBytes = MAX_SEGMENT_BYTES;
    private readonly opts: ReplicatedSegmentStoreOptions;
    readonly copyCount: number;

    constructor(opts: ReplicatedSegmentStoreOptions) {
        this.opts = opts;
        this.copyCount = opts.copyCount ?? DEFAULT_COPY_COUNT;
    }

    async put(bytes: Uint8Array): Promise<SegmentDigest> {
        const digest = digestOf(bytes);
        const copies = await this.replicate(digest, bytes, []);
        if (copies < this.copyCount) {
            throw new KnapweedError(
                "SEGMENT_NOT_KEPT",
                `Segment ${digest} has only ${copies} of ${this.copyCount} copies`,
                {
                    hint: "Run instances with a data folder in at least two availability zones",
                    outcome: "not-run",
                    statusCode: 503,
                },
            );
        }
        return digest;
    }

    async get(digest: SegmentDigest): Promise<Uint8Array> {
        for (const holder of this.rankedHolders(digest)) {
            const bytes = await this.readFrom(holder, digest);
            if (bytes !== undefined) {
                return bytes;
            }
        }
        throw segmentNotFoundError(digest);
    }

    async remove(digest: SegmentDigest): Promise<void> {
        await Promise.all(
            this.opts.holders().map(async holder => {
                if (this.isLocal(holder)) {
                    await this.opts.local?.remove(digest);
                    return;
                }
                await this.call(holder, removeSegmentCall, { digest }).catch(() => undefined);
            }),
        );
    }

    async repair(digest: SegmentDigest): Promise<number> {
        const held = await Promise.all(
            this.rankedHolders(digest).map(async holder => ({ holder, held: await this.hasCopy(holder, digest) })),
        );
        const holders = held.filter(copy => copy.held).map(copy => copy.holder);
        const zoneCount = new Set(holders.map(holder => holder.zone)).size;
        if (zoneCount >= this.copyCount || holders.length === 0) {
            return zoneCount;
        }
        return await this.replicate(digest, await this.get(digest), holders);
    }

    /** Writes copies until enough zones have one. @returns the number of zones with a copy */
    private async replicate(digest: SegmentDigest, bytes: Uint8Array, holders: SegmentHolder[]): Promise<number> {
        const zones = new Set<string>(holders.map(holder => holder.zone));
        let candidates = this.rankedHolders(digest);
        while (zones.size < this.copyCount) {
            const chosen = distinctZones(candidates.filter(holder => !zones.has(holder.zone)))
                .slice(0, this.copyCount - zones.size);
            if (chosen.length === 0) {
                break;
            }
            const stored = await Promise.all(chosen.map(holder => this.writeTo(holder, digest, bytes)));
            chosen.filter((_, index) => stored[index]).forEach(holder => zones.add(holder.zone));
            candidates = candidates.filter(holder => !chosen.includes(holder));
        }
        return zones.size;
    }

    /** Returns the holders: this instance first, then the others by rendezvous rank. */
    private rankedHolders(digest: SegmentDigest): SegmentHolder[] {
        const holders = this.opts.holders();
        const order = rendezvousRank(digest, holders.map(holder => holder.instanceId));
        return holders.toSorted((left, right) => this.rankOf(order, left) - this.rankOf(order, right));
    }

    private rankOf(order: InstanceId[], holder: SegmentHolder): number {
        return this.isLocal(holder) ? -1 : order.indexOf(holder.instanceId);
    }

    private isLocal(holder: SegmentHolder): boolean {
        return holder.instanceId === this.opts.instanceId;
    }

    private async writeTo(holder: SegmentHolder, digest: SegmentDigest, bytes: Uint8Array): Promise<boolean> {
        try {
            const storedDigest = this.isLocal(holder)
                ? await this.opts.local?.put(bytes)
                : (await this.call(holder, putSegmentCall, { bytes })).digest;
            return storedDigest === digest;
        }
        catch {
            return false;
        }
    }

    private async readFrom(holder: SegmentHolder, digest: SegmentDigest): Promise<Uint8Array | undefined> {
        try {
            const bytes = this.isLocal(holder)
                ? await this.opts.local?.get(digest)
                : (await this.call(holder, getSegmentCall, { digest })).bytes;
            return bytes && verifySegment(digest, bytes);
        }
        catch {
            return undefined;
        }
    }

    private async hasCopy(holder: SegmentHolder, digest: SegmentDigest): Promise<boolean> {
        if (this.isLocal(holder)) {
            return await this.readFrom(holder, digest) !== undefined;
        }
        return await this.call(holder, hasSegmentCall, { digest }).then(frame => frame.held, () => false);
    }

    private call<Request, Frame>(
        holder: SegmentHolder,
        definition: CallDefinition<Request, Frame>,
        request: Request,
    ): Promise<Frame> {
        const link = this.opts.endpoint.connect(holder.address);
        return singleFrame(link.call(definition, request, { timeoutMs: CALL_TIMEOUT_MS }));
    }
}

function distinctZones(holders: SegmentHolder[]): SegmentHolder[] {
    return holders.filter((holder, index) => holders.findIndex(other => other.zone === holder.zone) === index);
}
