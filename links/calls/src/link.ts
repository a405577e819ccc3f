import type { CallDefinition } from "./callDefinition.js";
import type { CallOptions } from "./callOptions.js";
import type { NotificationDefinition } from "./notificationDefinition.js";
import type { PeerIdentity } from "./peerIdentity.js";

/**
 * A managed connection to one process. The link is replaced when it goes silent; calls are resumed on the
 * replacement from the last frame that arrived.
 */
export interface Link {
    /** Undefined until the first handshake has ended. */
    readonly peer: PeerIdentity | undefined;
    /** `suspect` from the first missed heartbeat: new work should avoid it. */
    readonly state: "connecting" | "open" | "suspect" | "closed";
    /**
     * Sends a request and yields its frames in order, each once.
     *
     * Throws a KnapweedError: with outcome `not-run` where the request provably never reached a handler,
     * `unknown` where that can't be told, or the handler's own error.
     */
    call<Request, Frame>(
        definition: CallDefinition<Request, Frame>,
        request: Request,
        opts?: CallOptions,
    ): AsyncIterable<Frame>;
    /** Sends a one-way message; silently dropped where the link is not open. */
    notify<Message>(definition: NotificationDefinition<Message>, message: Message): void;
    close(): void;
}
