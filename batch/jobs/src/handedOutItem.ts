import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** Item that a gate held when its partition was handed over. */
export interface HandedOutItem {
    index: number;
    peer: InstanceId;
    incarnation: Incarnation;
    attempt: number;
}
