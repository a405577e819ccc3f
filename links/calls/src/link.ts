import type { CallDefinition } from "./callDefinition.js";
import type { CallOptions } from "./callOptions.js";
import type { NotificationDefinition } from "./notificationDefinition.js";
import type { PeerIdentity } from "./peerIdentity.js";

/**
 * A managed connection to one process. A connection that stops responding is replaced. Calls resume on the new
 * connection after the last frame that arrived.
 */
export interface Link {
    /** Undefined until the first handshake has completed. */
    readonly peer: PeerIdentity | undefined;
    /** `suspect` from the first missed heartbeat: new work should avoid the link. */
    readonly state: "connecting" | "open" | "suspect" | "closed";
    /**
     * Sends a request and yields the frames of its response in order, each exactly once.
     *
     * Throws a KnapweedError. Its outcome is `not-run` where the request provably never reached a handler and
     * `unknown` where that can't be determined. An error of the handler is thrown with the handler's outcome.
     */
    call<Request, Frame>(
        definition: CallDefinition<Request, Frame>,
        request: Request,
        opts?: CallOptions,
    ): AsyncIterable<Frame>;
    /** Sends a one-way message. Drops it without an error where the link is not open or its send buffer is full. */
    notify<Message>(definition: NotificationDefinition<Message>, message: Message): void;
    /** Closes the link. Calls in progress fail. */
    close(): void;
}
