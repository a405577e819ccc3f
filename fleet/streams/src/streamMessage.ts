import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { RecordedOrigin } from "./recordedOrigin.js";
import type { StreamOrigin } from "./streamOrigin.js";

/** A datagram about the origins of streams. */
export type StreamMessage =
    /** Origins that the recipient keeps. */
    | { kind: "origins"; origins: RecordedOrigin[]; }
    | { kind: "query"; requestId: RequestId; replyTo: HostPort; }
    /** The origin is undefined if the responder doesn't know it. */
    | { kind: "response"; requestId: RequestId; responder: InstanceName; origin: StreamOrigin | undefined; };
