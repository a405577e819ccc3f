import type { CallHeaderNames } from "@knapweedwood/fleet.view/callHeaderNames";

/** The headers that a run of an item uses. */
export type ItemRunHeaders = Pick<
    CallHeaderNames,
    "requestId" | "expectedUpstream" | "lastEventId" | "notRun" | "upstreamProof"
>;
