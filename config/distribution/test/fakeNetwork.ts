import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { Random } from "@knapweedwood/core.random/random";
import type { CallDefinition } from "@knapweedwood/links.calls/callDefinition";
import type { CallHandler } from "@knapweedwood/links.calls/callHandler";
import type { Link } from "@knapweedwood/links.calls/link";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { NotificationDefinition } from "@knapweedwood/links.calls/notificationDefinition";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";

type AnyHandler = CallHandler<unknown, unknown>;
type AnyReceiver = (message: unknown, peer: PeerIdentity) => void;

/** In-memory links that lose, delay, reorder and duplicate messages. */
export class FakeNetwork {
    lossRate = 0;
    duplicationRate = 0;
    maxDelayMs = 5;
    private readonly clock: Clock;
    private readonly random: Random;
    private readonly endpoints = new Map<string, FakeEndpoint>();
    private readonly cut = new Set<string>();

    constructor(opts: { clock: Clock; random: Random; }) {
        this.clock = opts.clock;
        this.random = opts.random;
    }

    /** Creates the endpoint of a process at `address`. Replaces the endpoint of an earlier process at this address. */
    attach(identity: PeerIdentity, address: string): FakeEndpoint {
        const endpoint = new FakeEndpoint({ network: this, identity, address });
        this.endpoints.set(address, endpoint);
        return endpoint;
    }

    detach(address: string): void {
        this.endpoints.delete(address);
    }

    /** Disconnects an address from all others, or reconnects it. */
    setCut(address: string, isCut: boolean): void {
        if (isCut) {
            this.cut.add(address);
        }
        else {
            this.cut.delete(address);
        }
    }

    find(from: FakeEndpoint, address: string): FakeEndpoint | undefined {
        const isAttached = this.endpoints.get(from.address) === from;
        return isAttached && !this.cut.has(from.address) && !this.cut.has(address)
            ? this.endpoints.get(address)
            : undefined;
    }

    all(): FakeEndpoint[] {
        return [...this.endpoints.values()];
    }

    delay(): Promise<void> {
        return new Promise(resolve => this.clock.setTimer(this.random.next() * this.maxDelayMs, resolve));
    }

    /** Sends a message, subject to the configured loss, duplication and delay. */
    transmit(from: FakeEndpoint, address: string, deliver: (target: FakeEndpoint) => void): void {
        const copies = this.random.next() < this.lossRate ? 0 : this.random.next() < this.duplicationRate ? 2 : 1;
        Array.from({ length: copies }).forEach(() => {
            void this.delay().then(() => {
                const target = this.find(from, address);
                if (target !== undefined) {
                    deliver(target);
                }
            });
        });
    }
}

/** The links of one process in a {@link FakeNetwork}. */
export class FakeEndpoint implements LinkEndpoint {
    readonly identity: PeerIdentity;
    readonly address: string;
    readonly handlers = new Map<string, AnyHandler>();
    readonly receivers = new Map<string, AnyReceiver>();
    private readonly network: FakeNetwork;
    private readonly linksByAddress = new Map<string, Link>();

    constructor(opts: { network: FakeNetwork; identity: PeerIdentity; address: string; }) {
        this.network = opts.network;
        this.identity = opts.identity;
        this.address = opts.address;
    }

    listen(): Promise<string> {
        return Promise.resolve(this.address);
    }

    handle<Request, Frame>(definition: CallDefinition<Request, Frame>, handler: CallHandler<Request, Frame>): void {
        this.handlers.set(definition.name, handler as AnyHandler);
    }

    handleNotification<Message>(
        definition: NotificationDefinition<Message>,
        receiver: (message: Message, peer: PeerIdentity) => void,
    ): void {
        this.receivers.set(definition.name, receiver as AnyReceiver);
    }

    connect(address: string): Link {
        const link = this.linksByAddress.get(address) ?? this.createLink(address);
        this.linksByAddress.set(address, link);
        return link;
    }

    links(): Link[] {
        return [...this.linksByAddress.values()];
    }

    close(): Promise<void> {
        this.network.detach(this.address);
        return Promise.resolve();
    }

    /** Returns the identity of the process at `address`, or undefined if it is unreachable. */
    peerAt(address: string): PeerIdentity | undefined {
        return this.network.find(this, address)?.identity;
    }

    private createLink(address: string): Link {
        const endpoint = this as FakeEndpoint;
        const network = this.network;
        return {
            get peer() {
                return endpoint.peerAt(address);
            },
            get state() {
                return endpoint.peerAt(address) === undefined ? "suspect" : "open";
            },
            call: (definition, request) => endpoint.call(address, definition, request),
            notify: (definition, message) =>
                network.transmit(endpoint, address, target => {
                    target.connect(endpoint.address);
                    target.receivers.get(definition.name)?.(structuredClone(message), endpoint.identity);
                }),
            close: () => this.linksByAddress.delete(address),
        };
    }

    private async *call<Request, Frame>(
        address: string,
        definition: CallDefinition<Request, Frame>,
        request: Request,
    ): AsyncIterable<Frame> {
        await this.network.delay();
        const handler = this.network.find(this, address)?.handlers.get(definition.name);
        if (handler === undefined) {
            throw new KnapweedError("LINK_SILENT", `No process at ${address}`, { outcome: "unknown" });
        }
        const context = {
            peer: this.identity,
            signal: new AbortController().signal,
            deadlineMs: undefined,
            traceParent: undefined,
        };
        for await (const frame of handler(request, context)) {
            await this.network.delay();
            yield structuredClone(frame) as Frame;
        }
    }
}
