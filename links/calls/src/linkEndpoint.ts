import type { CallDefinition } from "./callDefinition.js";
import type { CallHandler } from "./callHandler.js";
import type { Link } from "./link.js";
import type { NotificationDefinition } from "./notificationDefinition.js";
import type { PeerIdentity } from "./peerIdentity.js";

/** The links of one process: those it accepts and those it opens. */
export interface LinkEndpoint {
    readonly identity: PeerIdentity;
    /** Starts accepting links. @returns the address bound, as `host:port` */
    listen(): Promise<string>;
    /** Registers the handler of a call, for links in both directions. */
    handle<Request, Frame>(definition: CallDefinition<Request, Frame>, handler: CallHandler<Request, Frame>): void;
    /** Registers the receiver of a one-way message. */
    handleNotification<Message>(
        definition: NotificationDefinition<Message>,
        handler: (message: Message, peer: PeerIdentity) => void,
    ): void;
    /** The managed link to `address` (`host:port`); the same one for the same address. */
    connect(address: string): Link;
    /** All open links, accepted ones among them. */
    links(): Link[];
    /** Ends all links once their calls have ended, or after `graceMs` milliseconds. */
    close(graceMs?: number): Promise<void>;
}
