import type { CallHeaders } from "@knapweedwood/fleet.view/callHeaders";

/** Names of the headers used by a run of an item. */
export type ItemRunHeaders = Pick<
    CallHeaders,
    "requestId" | "expectedUpstream" | "lastEventId" | "notRun" | "upstreamProof"
>;
