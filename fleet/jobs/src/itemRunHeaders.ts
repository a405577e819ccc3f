import type { CallHeaders } from "@knapweedwood/fleet.view/callHeaders";

/** The headers that a run of an item uses. */
export type ItemRunHeaders = Pick<
    CallHeaders,
    "requestId" | "expectedUpstream" | "lastEventId" | "notRun" | "upstreamProof"
>;
