import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import { cancelJobNotification } from "@knapweedwood/batch.items/cancelJobNotification";
import type { HeldItem } from "@knapweedwood/batch.items/heldItem";
import { pullItemsCall } from "@knapweedwood/batch.items/pullItemsCall";
import type { PullItemsRequest } from "@knapweedwood/batch.items/pullItemsRequest";
import { reportResultsCall } from "@knapweedwood/batch.items/reportResultsCall";
import { batchKeys } from "@knapweedwood/batch.jobs/batchKeys";
import type { OpenJob } from "@knapweedwood/batch.jobs/openJob";
import { partitionOf } from "@knapweedwood/batch.jobs/partitionOf";
import type { OwnedPartition } from "@knapweedwood/batch.ownership/ownedPartition";
import { PartitionOwnership } from "@knapweedwood/batch.ownership/partitionOwnership";
import { listRecords } from "@knapweedwood/batch.records/listRecords";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { BatchRoleOptions } from "./batchRoleOptions.js";
import { handOutItems } from "./handOutItems.js";
import { JobRetention } from "./jobRetention.js";
import { PartitionOwner } from "./partitionOwner.js";
import { PullTracker } from "./pullTracker.js";
import { SegmentScan } from "./segmentScan.js";
import { TeamShares } from "./teamShares.js";

const OPEN_JOBS_INTERVAL_MS = 1000;
const DEFAULT_WRITE_BUDGET_PER_SECOND = 64;
const MS_PER_SECOND = 1000;
const FORWARD_TIMEOUT_MS = 5000;
const DEFAULT_MAINTENANCE_INTERVAL_MS = 60_000;

/** Batch processing on one entry instance: owns partitions, hands out their items, collects and commits results. */
export class BatchRole {
    private readonly opts: BatchRoleOptions;
    private readonly ownership: PartitionOwnership;
    private readonly owners = new Map<PartitionId, PartitionOwner>();
    private readonly shares: TeamShares;
    private readonly pulls = new PullTracker({ requeue: (items, peer) => this.requeue(items, peer) });
    private readonly stopping = new AbortController();
    private lastEntries: InstanceId[] = [];
    private loop: Promise<void> | undefined;
    private maintenanceLoop: Promise<void> | undefined;

    constructor(opts: BatchRoleOptions) {
        this.opts = opts;
        this.shares = new TeamShares({ weightOf: opts.teamWeight });
        this.ownership = new PartitionOwnership({
            ...opts,
            scope: "batch",
            liveEntries: () => this.liveEntries(),
            onAcquired: partition => this.startOwner(partition),
            onLost: (partitionId, address) => void this.forwardResults(partitionId, address),
            onRelease: partitionId => this.handOver(partitionId),
        });
        opts.endpoint.handle(pullItemsCall, (request, context) => this.pull(request, context.peer));
        opts.endpoint.handle(reportResultsCall, (request, context) => this.report(request.results, context.peer));
    }

    start(): void {
        this.ownership.start();
        this.loop ??= this.syncUntilStopped();
        this.maintenanceLoop ??= this.maintainUntilStopped();
    }

    /** Commits the collected results and hands over all partitions. */
    async stop(): Promise<void> {
        this.stopping.abort();
        await this.ownership.stop();
        await this.loop;
        await this.maintenanceLoop;
        await Promise.all([...this.owners.values()].map(owner => owner.stop()));
        this.owners.clear();
    }

    /** Notifies the gates linked to this instance to stop a job's items. */
    notifyCancelled(jobId: JobId): void {
        this.opts.endpoint.links()
            .filter(link => link.peer?.kind === "side")
            .forEach(link => link.notify(cancelJobNotification, { jobId }));
    }

    /** Returns the partitions that this instance may commit to, shape [partitions]. */
    ownedPartitions(): OwnedPartition[] {
        return [...this.owners.keys()].flatMap(partitionId => this.ownership.owned(partitionId) ?? []);
    }

    private async *pull(request: PullItemsRequest, peer: PeerIdentity): AsyncIterable<{ items: BatchItem[]; }> {
        this.confirmHeld(request.held, peer);
        const items = await this.pulls.respond(request, peer, () => this.handOut(request, peer));
        this.opts.metrics.increment("batch.items_handed_out", {}, items.length);
        yield { items };
    }

    private confirmHeld(held: HeldItem[] | undefined, peer: PeerIdentity): void {
        if (held === undefined) {
            return;
        }
        [...this.owners.values()].flatMap(owner => owner.jobs()).forEach(run => {
            run.confirmHeld(held.filter(item => item.jobId === run.manifest.jobId), peer);
        });
    }

    private async handOut(request: PullItemsRequest, peer: PeerIdentity): Promise<BatchItem[]> {
        return this.stopping.signal.aborted || request.count === 0 ? [] : await handOutItems({
            owners: [...this.owners.values()],
            request,
            peer,
            shares: this.shares,
            nowMs: this.opts.clock.nowMs(),
        });
    }

    private requeue(items: BatchItem[], peer: PeerIdentity): void {
        items.forEach(item => {
            const owner = this.owners.get(partitionOf(item.jobId, this.opts.partitionCount));
            owner?.job(item.jobId)?.requeue([item], peer);
        });
    }

    private async *report(results: BatchResult[], peer: PeerIdentity): AsyncIterable<{ taken: number; }> {
        const jobIds = [...new Set(results.map(result => result.jobId))];
        const acceptedCounts = await Promise.all(jobIds.map(async jobId => {
            const owner = this.owners.get(partitionOf(jobId, this.opts.partitionCount));
            return await owner?.report(jobId, results.filter(result => result.jobId === jobId), peer) ?? 0;
        }));
        yield { taken: acceptedCounts.reduce((sum, count) => sum + count, 0) };
    }

    private async syncUntilStopped(): Promise<void> {
        const { clock, random, logger } = this.opts;
        while (!this.stopping.signal.aborted) {
            await this.syncOpenJobs().catch((error: unknown) => {
                logger.warn("open-jobs-read-failed", { code: toKnapweedError(error).code });
            });
            await sleep(clock, OPEN_JOBS_INTERVAL_MS * (0.75 + random.next() / 4), this.stopping.signal);
        }
    }

    /** Re-copies segments and removes expired jobs at jittered intervals. */
    private async maintainUntilStopped(): Promise<void> {
        const {
            clock,
            random,
            logger,
            maintenanceIntervalMs = DEFAULT_MAINTENANCE_INTERVAL_MS,
            retentionMs,
        } = this.opts;
        const isOwned = (partitionId: PartitionId) => this.ownership.owned(partitionId) !== undefined;
        const scan = new SegmentScan({ ...this.opts, isOwned });
        const retention = new JobRetention({ ...this.opts, isOwned, retentionMs: retentionMs ?? Infinity });
        while (!this.stopping.signal.aborted) {
            await sleep(clock, maintenanceIntervalMs * (0.75 + random.next() / 2), this.stopping.signal);
            try {
                await scan.run(this.stopping.signal);
                await retention.run();
            }
            catch (error) {
                logger.warn("segment-scan-interrupted", { code: toKnapweedError(error).code });
            }
        }
    }

    private async syncOpenJobs(): Promise<void> {
        if (this.owners.size === 0) {
            return;
        }
        const records = await listRecords<OpenJob>(this.opts.keyValue, batchKeys.openJobs);
        const open = records.map(record => record.value);
        await Promise.all(
            [...this.owners].map(([partitionId, owner]) =>
                owner.syncOpenJobs(open.filter(job => partitionOf(job.jobId, this.opts.partitionCount) === partitionId))
            ),
        );
    }

    private startOwner(partition: OwnedPartition): void {
        const { partitionId } = partition;
        const existing = this.owners.get(partitionId);
        if (existing !== undefined) {
            existing.reloadAll().catch((error: unknown) => {
                this.opts.logger.warn("jobs-reload-failed", { code: toKnapweedError(error).code });
            });
            return;
        }
        const owner = new PartitionOwner({
            ...this.opts,
            partitionId,
            owned: () => this.ownership.owned(partitionId),
            peers: () => this.opts.endpoint.links().flatMap(link => link.peer ?? []),
            notifyCancelled: jobId => this.notifyCancelled(jobId),
            commitIntervalMs: this.opts.partitionCount * MS_PER_SECOND
                / (this.opts.writeBudgetPerSecond ?? DEFAULT_WRITE_BUDGET_PER_SECOND),
        });
        this.owners.set(partitionId, owner);
        owner.start();
    }

    /** Stops the owner of a partition that another instance has taken and sends the uncommitted results there. */
    private async forwardResults(partitionId: PartitionId, newOwnerAddress: string): Promise<void> {
        const owner = this.owners.get(partitionId);
        this.owners.delete(partitionId);
        if (owner === undefined) {
            return;
        }
        this.opts.logger.warn("partition-lost", { partitionId });
        await owner.stop();
        const link = this.opts.endpoint.connect(newOwnerAddress);
        for await (const results of owner.uncommittedResults()) {
            await singleFrame(link.call(reportResultsCall, { results }, { timeoutMs: FORWARD_TIMEOUT_MS })).catch(() =>
                undefined
            );
        }
    }

    private async handOver(partitionId: PartitionId): Promise<void> {
        const owner = this.owners.get(partitionId);
        this.owners.delete(partitionId);
        try {
            await owner?.handOver();
        }
        finally {
            await owner?.stop();
        }
    }

    private async liveEntries(): Promise<InstanceId[]> {
        try {
            const records = await this.opts.instanceList.list();
            this.lastEntries = records
                .filter(record => record.kind === "entry" && record.state === "live")
                .map(record => record.instanceId);
        }
        catch (error) {
            this.opts.logger.debug("instance-list-read-failed", { code: toKnapweedError(error).code });
        }
        return this.lastEntries;
    }
}
