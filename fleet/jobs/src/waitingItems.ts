import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ItemConditions } from "./itemConditions.js";
import type { JobItem } from "./jobItem.js";
import type { OpenJob } from "./openJob.js";
import type { WaitReason } from "./waitReason.js";

/** Time without a run from which on an item is reported, in milliseconds. */
const REPORTED_AFTER_MS = 5000;
/** Minimum time between two reports, in milliseconds. */
const REPORT_INTERVAL_MS = 10_000;
/** Minimum time between two passes over all items, in milliseconds. */
const REVIEW_INTERVAL_MS = 1000;

interface WaitingItem {
    jobId: JobId;
    itemId: ItemId;
    waitMs: number;
    reason: WaitReason;
}

interface WaitingItemsReport {
    /** Number of items that have waited for longer than `REPORTED_AFTER_MS`, by reason. */
    itemsByReason: { [reason in WaitReason]?: number; };
    /** The one that has waited the longest for another reason than a free slot. */
    longest: WaitingItem;
}

/**
 * Finds the items that have waited for seconds although their service has free slots, with the reason for each. Items that
 * wait for a free slot are usual under load. They are counted only if some items wait for another reason.
 */
export class WaitingItems {
    private readonly conditions: ItemConditions;
    private readonly firstSeenAtMs = new WeakMap<JobItem, number>();
    private reviewedAtMs = -Infinity;
    private reportedAtMs = -Infinity;

    constructor(conditions: ItemConditions) {
        this.conditions = conditions;
    }

    /** Returns what to report now, at most once in `REPORT_INTERVAL_MS`; undefined if there is nothing. */
    review(jobs: readonly OpenJob[], nowMs: number): WaitingItemsReport | undefined {
        if (nowMs < this.reviewedAtMs + REVIEW_INTERVAL_MS) {
            return undefined;
        }
        this.reviewedAtMs = nowMs;
        const serviceReasons = new Map<ServiceName, WaitReason | undefined>();
        const waiting = jobs
            .filter(job => !job.isEnded)
            .flatMap(job =>
                job.items
                    .filter(item => this.waitMs(item, nowMs) > REPORTED_AFTER_MS)
                    .map(item => ({
                        jobId: job.record.jobId,
                        itemId: item.id,
                        waitMs: this.waitMs(item, nowMs),
                        reason: this.reasonOf(job, item, serviceReasons),
                    }))
            );
        const longest = waiting
            .filter(({ reason }) => reason !== "no-free-slot")
            .reduce<WaitingItem | undefined>((most, one) => one.waitMs > (most?.waitMs ?? 0) ? one : most, undefined);
        if (longest === undefined || nowMs < this.reportedAtMs + REPORT_INTERVAL_MS) {
            return undefined;
        }
        this.reportedAtMs = nowMs;
        return { itemsByReason: countByReason(waiting), longest };
    }

    /** Returns the time since the last run of an item or, where it had none, since it was first seen here. */
    private waitMs(item: JobItem, nowMs: number): number {
        if (item.state === "running" || item.state === "stored") {
            return 0;
        }
        const firstSeenAtMs = this.firstSeenAtMs.get(item) ?? nowMs;
        this.firstSeenAtMs.set(item, firstSeenAtMs);
        return Math.round(nowMs - Math.max(firstSeenAtMs, item.lastRunEndedAtMs));
    }

    private reasonOf(
        job: OpenJob,
        item: JobItem,
        serviceReasons: Map<ServiceName, WaitReason | undefined>,
    ): WaitReason {
        if (item.state === "finished") {
            return "result-not-stored";
        }
        if (!job.isLoaded) {
            return "bodies-missing";
        }
        const service = this.conditions.serviceOf(job, item);
        if (service === undefined) {
            return "route-missing";
        }
        if (!serviceReasons.has(service)) {
            serviceReasons.set(service, this.serviceReason(service));
        }
        return serviceReasons.get(service)
            ?? (this.conditions.isQuarantined(service, item) ? "quarantined" : "resumption-awaited");
    }

    /**
     * Returns why no item of a service can start; undefined if a slot is free. Reserved slots are a reason only while no
     * item of the service runs at all.
     */
    private serviceReason(service: ServiceName): WaitReason | undefined {
        const upstreams = this.conditions.readyUpstreams(service);
        if (upstreams.length === 0) {
            return "no-upstream";
        }
        if (this.conditions.hasWaitingRequest(service)) {
            return "online-requests-wait";
        }
        const slots = this.conditions.slotsOf(service);
        if (slots === undefined) {
            return "upstreams-ejected";
        }
        if (slots.startable > 0) {
            return undefined;
        }
        return slots.idle > 0 && slots.running === 0 ? "slots-reserved" : "no-free-slot";
    }
}

function countByReason(waiting: readonly WaitingItem[]): WaitingItemsReport["itemsByReason"] {
    return waiting.reduce<WaitingItemsReport["itemsByReason"]>(
        (counts, { reason }) => ({ ...counts, [reason]: (counts[reason] ?? 0) + 1 }),
        {},
    );
}
