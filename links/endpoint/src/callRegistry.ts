import type { CallHandler } from "@knapweedwood/links.calls/callHandler";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";

/** What a process answers: the handlers of calls and the receivers of notifications, by name. */
export class CallRegistry {
    readonly handlers = new Map<string, CallHandler<unknown, unknown>>();
    readonly notificationHandlers = new Map<string, (message: unknown, peer: PeerIdentity) => void>();
    /** Set while the process ends: new calls are refused as not run. */
    isClosing = false;
}
