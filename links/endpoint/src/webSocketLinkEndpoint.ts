import { sleep } from "@knapweedwood/core.clock/sleep";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { CallDefinition } from "@knapweedwood/links.calls/callDefinition";
import type { CallHandler } from "@knapweedwood/links.calls/callHandler";
import type { Link } from "@knapweedwood/links.calls/link";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { NotificationDefinition } from "@knapweedwood/links.calls/notificationDefinition";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import { randomInt } from "node:crypto";
import { WebSocket } from "ws";
import type { BaseLink } from "./baseLink.js";
import { CallRegistry } from "./callRegistry.js";
import { defaultLinkLimits } from "./defaultLinkLimits.js";
import { DialedLink } from "./dialedLink.js";
import type { LinkContext } from "./linkContext.js";
import { LinkServer } from "./linkServer.js";
import type { LinkTls } from "./linkTls.js";
import type { LinkTraffic } from "./linkTraffic.js";
import { MessageCodec } from "./messageCodec.js";
import type { WebSocketLinkEndpointOptions } from "./webSocketLinkEndpointOptions.js";

const DEFAULT_CLOSE_GRACE_MS = 30_000;
const CLOSE_POLL_MS = 20;
const MAX_SEED = 2 ** 31;

/** Manages the links of one process over WebSockets that carry msgpack. */
export class WebSocketLinkEndpoint implements LinkEndpoint {
    readonly identity: PeerIdentity;
    private readonly opts: WebSocketLinkEndpointOptions;
    private readonly context: LinkContext;
    private readonly server: LinkServer;
    private readonly dialed = new Map<string, DialedLink>();
    private tls: LinkTls | undefined;

    constructor(opts: WebSocketLinkEndpointOptions) {
        this.opts = opts;
        this.identity = opts.identity;
        this.tls = opts.tls;
        const limits = { ...defaultLinkLimits, ...opts.limits };
        const random = opts.random ?? new SeededRandom(randomInt(MAX_SEED));
        this.context = {
            identity: opts.identity,
            clock: opts.clock,
            random,
            logger: opts.logger,
            metrics: opts.metrics,
            codec: new MessageCodec(),
            limits,
            registry: new CallRegistry(),
            heartbeatPhaseMs: random.next() * limits.idleHeartbeatIntervalMs,
        };
        this.server = new LinkServer({ context: this.context, host: opts.host, port: opts.port, tls: opts.tls });
    }

    async listen(): Promise<string> {
        const port = await this.server.listen();
        return this.opts.advertisedAddress ?? `${this.opts.host}:${port}`;
    }

    handle<Request, Frame>(definition: CallDefinition<Request, Frame>, handler: CallHandler<Request, Frame>): void {
        this.context.registry.handlers.set(definition.name, handler as CallHandler<unknown, unknown>);
    }

    handleNotification<Message>(
        definition: NotificationDefinition<Message>,
        handler: (message: Message, peer: PeerIdentity) => void,
    ): void {
        this.context.registry.notificationHandlers.set(
            definition.name,
            handler as (message: unknown, peer: PeerIdentity) => void,
        );
    }

    connect(address: string): Link {
        const existing = this.dialed.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const link = new DialedLink({
            context: this.context,
            openSocket: () => this.openSocket(address),
            onClosed: () => this.dialed.delete(address),
        });
        this.dialed.set(address, link);
        return link;
    }

    links(): Link[] {
        return this.allLinks().filter(link => link.state === "open" || link.state === "suspect");
    }

    /** Returns the payload bytes that the current links have sent and received. */
    traffic(): LinkTraffic {
        const links = this.allLinks();
        return {
            sentBytes: links.reduce((sum, link) => sum + link.sentBytes, 0),
            receivedBytes: links.reduce((sum, link) => sum + link.receivedBytes, 0),
        };
    }

    /** Replaces the certificates for new connections, in both directions. */
    reloadTls(tls: LinkTls): void {
        this.tls = tls;
        this.server.reloadTls(tls);
    }

    async close(graceMs = DEFAULT_CLOSE_GRACE_MS): Promise<void> {
        const { clock, registry } = this.context;
        const graceEndsAtMs = clock.nowMs() + graceMs;
        registry.isClosing = true;
        while (this.allLinks().some(link => link.callCount > 0) && clock.nowMs() < graceEndsAtMs) {
            await sleep(clock, CLOSE_POLL_MS);
        }
        [...this.dialed.values()].forEach(link => link.close());
        await this.server.close();
    }

    private allLinks(): BaseLink[] {
        return [...this.dialed.values(), ...this.server.links];
    }

    private openSocket(address: string): WebSocket {
        const { tls } = this;
        const common = { perMessageDeflate: false, maxPayload: this.context.limits.maxMessageBytes };
        return tls === undefined
            ? new WebSocket(`ws://${address}`, common)
            : new WebSocket(`wss://${address}`, {
                ...common,
                cert: tls.certificate,
                key: tls.privateKey,
                ca: tls.authorities,
            });
    }
}
