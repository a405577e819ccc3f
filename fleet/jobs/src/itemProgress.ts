import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";

/** Progress of an item. */
export interface ItemProgress {
    /** Data of the events so far, shape [events]. */
    events: string[];
    /** Id of the last event; 0 if there is none. */
    lastEventId: number;
    /** Service whose upstreams wrote the events; undefined if there is none, or it isn't known. */
    service?: ServiceName | undefined;
    /** Software version of the upstreams that wrote the events; undefined if there is none, or it isn't known. */
    softwareVersion?: SoftwareVersion | undefined;
    failedAttempts: number;
    /** Whether an upstream reported that the item can never be processed. */
    isImpossible?: boolean | undefined;
    /** Whether the events are the whole output. */
    isComplete: boolean;
}
