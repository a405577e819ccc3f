import { partitionOf } from "@knapweedwood/batch.jobs/partitionOf";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import { readReferences } from "./readReferences.js";
import type { SegmentScanReport } from "./segmentScanReport.js";

/** Pause between two segments, to bound the share of network and disks that re-copying takes. */
const PAUSE_BETWEEN_SEGMENTS_MS = 20;

/** Checks the copies of segments that files and open jobs of owned partitions need, and re-copies missing ones. */
export class SegmentScan {
    private readonly opts: {
        keyValue: KeyValueService;
        segmentStore: SegmentStore;
        clock: Clock;
        partitionCount: number;
        isOwned: (partitionId: PartitionId) => boolean;
        logger: Logger;
        metrics: Metrics;
    };

    constructor(opts: SegmentScan["opts"]) {
        this.opts = opts;
    }

    /** Scans all segments once, until done or aborted. @returns the segments that lack copies */
    async run(signal?: AbortSignal): Promise<SegmentScanReport> {
        const { keyValue, segmentStore, clock, logger, metrics } = this.opts;
        const report: SegmentScanReport = { checkedCount: 0, singleCopy: [], lost: [] };
        for (const digest of this.ownedDigests(await readReferences(keyValue))) {
            if (signal?.aborted === true) {
                break;
            }
            const copies = await segmentStore.repair(digest);
            report.checkedCount += 1;
            if (copies < segmentStore.copyCount) {
                (copies === 0 ? report.lost : report.singleCopy).push(digest);
            }
            await sleep(clock, PAUSE_BETWEEN_SEGMENTS_MS, signal);
        }
        metrics.gauge("batch.segments_single_copy", report.singleCopy.length);
        metrics.gauge("batch.segments_lost", report.lost.length);
        if (report.singleCopy.length + report.lost.length > 0) {
            logger.warn("segments-under-replicated", { singleCopy: report.singleCopy.length, lost: report.lost });
        }
        return report;
    }

    private ownedDigests(references: Map<string, SegmentDigest[]>): Set<SegmentDigest> {
        const owned = [...references].filter(([id]) => this.opts.isOwned(partitionOf(id, this.opts.partitionCount)));
        return new Set(owned.flatMap(([, digests]) => digests));
    }
}
