import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { RequestCount } from "@knapweedwood/routing.limits/requestCount";
import type { AnnouncedLimit } from "./announcedLimit.js";

/** What a process reports to the others about upstreams with limits. */
export interface UpstreamUsage {
    /** Requests that the process has sent to them, where the number has changed a short time ago, shape [upstreams]. */
    counts: RequestCount<UpstreamId>[];
    /** Limits that the process knows, those that are due, shape [upstreams]. */
    limits: AnnouncedLimit[];
}
