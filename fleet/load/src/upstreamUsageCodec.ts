import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { UpstreamUsage } from "@knapweedwood/fleet.upstream-limits/upstreamUsage";
import { groupsOf } from "./groupsOf.js";

/** Empty if there is nothing to report. */
export type PackedUpstreamUsage = [counts?: (string | number)[], limits?: (string | number)[]];

const COUNT_FIELDS = 3;
const LIMIT_FIELDS = 4;
/** Stands for an upstream that names no limit any more. */
const NO_LIMIT = -1;

/** Packs the usage of upstreams with limits for a load report. */
export const upstreamUsageCodec = {
    pack({ counts, limits }: UpstreamUsage): PackedUpstreamUsage {
        const packedCounts = counts.flatMap(({ id, admitted, recentlyAdmitted }) => [id, admitted, recentlyAdmitted]);
        if (limits.length === 0) {
            return counts.length === 0 ? [] : [packedCounts];
        }
        const packedLimits = limits.flatMap(({ upstreamId, startedAtMs, requestsPerSecond, ageMs }) => [
            upstreamId,
            startedAtMs,
            requestsPerSecond ?? NO_LIMIT,
            Math.round(ageMs),
        ]);
        return [packedCounts, packedLimits];
    },

    /** Unpacks the usage; undefined is what processes of earlier versions send. */
    unpack([counts = [], limits = []]: PackedUpstreamUsage = []): UpstreamUsage {
        return {
            counts: groupsOf(counts, COUNT_FIELDS).map(([id, admitted, recentlyAdmitted]) => ({
                id: id as UpstreamId,
                admitted: admitted as number,
                recentlyAdmitted: recentlyAdmitted as number,
            })),
            limits: groupsOf(limits, LIMIT_FIELDS).map(([upstreamId, startedAtMs, requestsPerSecond, ageMs]) => ({
                upstreamId: upstreamId as UpstreamId,
                startedAtMs: startedAtMs as number,
                requestsPerSecond: requestsPerSecond === NO_LIMIT ? undefined : requestsPerSecond as number,
                ageMs: ageMs as number,
            })),
        };
    },
};
