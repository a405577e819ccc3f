import type { CallDefinition } from "./callDefinition.js";
import type { CallHandler } from "./callHandler.js";
import type { Link } from "./link.js";
import type { NotificationDefinition } from "./notificationDefinition.js";
import type { PeerIdentity } from "./peerIdentity.js";

/** Manages the links of one process: those that it accepts and those that it opens. */
export interface LinkEndpoint {
    readonly identity: PeerIdentity;
    /** Starts accepting links. @returns the bound or advertised address, as `host:port` */
    listen(): Promise<string>;
    /** Registers the handler of a call, for links in both directions. */
    handle<Request, Frame>(definition: CallDefinition<Request, Frame>, handler: CallHandler<Request, Frame>): void;
    /** Registers the handler of a one-way message, for links in both directions. */
    handleNotification<Message>(
        definition: NotificationDefinition<Message>,
        handler: (message: Message, peer: PeerIdentity) => void,
    ): void;
    /** Returns the managed link to `address` (`host:port`), the same link for the same address. */
    connect(address: string): Link;
    /** Returns all open and suspect links, including accepted ones. */
    links(): Link[];
    /** Closes all links once their calls have ended, at the latest after `graceMs` milliseconds. */
    close(graceMs?: number): Promise<void>;
}
