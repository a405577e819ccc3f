import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { CallDefinition } from "@knapweedwood/links.calls/callDefinition";
import type { CallHandler } from "@knapweedwood/links.calls/callHandler";
import type { Link } from "@knapweedwood/links.calls/link";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { NotificationDefinition } from "@knapweedwood/links.calls/notificationDefinition";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { InstanceLifecycle } from "./instanceLifecycle.js";
import { MemoryLink } from "./memoryLink.js";
import type { MemoryNetwork } from "./memoryNetwork.js";

type AnyCallHandler = CallHandler<unknown, unknown>;
type AnyNotificationHandler = (message: unknown, peer: PeerIdentity) => void;

/** The link endpoint of one simulated process, in memory. */
export class MemoryEndpoint implements LinkEndpoint {
    readonly identity: PeerIdentity;
    readonly address: string;
    readonly lifecycle: InstanceLifecycle;
    private readonly network: MemoryNetwork;
    private readonly callHandlers = new Map<string, AnyCallHandler>();
    private readonly notificationHandlers = new Map<string, AnyNotificationHandler>();

    constructor(
        opts: { identity: PeerIdentity; address: string; lifecycle: InstanceLifecycle; network: MemoryNetwork; },
    ) {
        this.identity = opts.identity;
        this.address = opts.address;
        this.lifecycle = opts.lifecycle;
        this.network = opts.network;
        opts.network.add(this);
    }

    listen(): Promise<string> {
        return Promise.resolve(this.address);
    }

    handle<Request, Frame>(definition: CallDefinition<Request, Frame>, handler: CallHandler<Request, Frame>): void {
        this.callHandlers.set(definition.name, handler as AnyCallHandler);
    }

    handleNotification<Message>(
        definition: NotificationDefinition<Message>,
        handler: (message: Message, peer: PeerIdentity) => void,
    ): void {
        this.notificationHandlers.set(definition.name, handler as AnyNotificationHandler);
    }

    connect(address: string): Link {
        return new MemoryLink({ from: this, address, network: this.network });
    }

    links(): Link[] {
        return this.network.allEndpoints()
            .filter(other =>
                other !== this && !other.lifecycle.dead && !this.network.isSilent(this.address, other.address)
            )
            .map(other => this.connect(other.address));
    }

    close(): Promise<void> {
        this.network.remove(this.address);
        return Promise.resolve();
    }

    /**
     * Runs the handler of a call, and holds the request and the frames back while the process is paused.
     *
     * @returns all frames of the response; rejects with `LINK_NO_HANDLER` for an unknown call
     */
    async handleCall(name: string, request: unknown, peer: PeerIdentity): Promise<unknown[]> {
        await this.lifecycle.whenRunning();
        const handler = this.callHandlers.get(name);
        if (handler === undefined) {
            throw new KnapweedError("LINK_NO_HANDLER", `No handler is registered for the call ${name}`, {
                outcome: "not-run",
            });
        }
        const context = { peer, signal: new AbortController().signal, deadlineMs: undefined, traceParent: undefined };
        const frames: unknown[] = [];
        for await (const frame of handler(request, context)) {
            frames.push(frame);
        }
        await this.lifecycle.whenRunning();
        return frames;
    }

    /** Runs the handler of a notification; during a pause, at its end. */
    handleMessage(name: string, message: unknown, peer: PeerIdentity): void {
        this.lifecycle.run(() => this.notificationHandlers.get(name)?.(message, peer));
    }
}
