import type { CallHandler } from "@knapweedwood/links.calls/callHandler";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";

/** The handlers of calls and notifications that a process has registered, by name. */
export class CallRegistry {
    readonly handlers = new Map<string, CallHandler<unknown, unknown>>();
    readonly notificationHandlers = new Map<string, (message: unknown, peer: PeerIdentity) => void>();
    /** Set while the process shuts down: new calls are rejected with outcome `not-run`. */
    isClosing = false;
}
