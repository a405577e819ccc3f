import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { QueuedRequest } from "./queuedRequest.js";

/** A request in the queue, with the properties that its position depends on as they were when it was added. */
export interface WaitingRequest {
    request: QueuedRequest;
    teamId: TeamId | undefined;
    /** Names the stream of the team's requests with the same traits. */
    streamKey: string;
    /** Increases with each request that is added. */
    sequence: number;
    arrivedAtMs: number;
    callerTimeoutAtMs: number;
}
