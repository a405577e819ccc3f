import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** An attempt that ended without a result. */
export interface FailedAttempt {
    upstream: InstanceId;
    code: string;
    message: string;
    cause: "item" | "instance" | "upstream-lost";
    /** Whether the upstream may have run the call. */
    mayHaveRun: boolean;
}
