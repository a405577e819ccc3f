import type { CallHeaderNames } from "@knapweedwood/fleet.view/callHeaderNames";

/** Names of the headers used by a run of an item. */
export type ItemRunHeaders = Pick<
    CallHeaderNames,
    | "requestId"
    | "expectedUpstream"
    | "expectedVersion"
    | "promptParts"
    | "lastEventId"
    | "notRun"
    | "leaving"
    | "upstreamProof"
    | "key"
    | "team"
>;
