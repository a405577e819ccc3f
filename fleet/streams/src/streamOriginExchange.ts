import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { DatagramChannel } from "@knapweedwood/fleet.load/datagramChannel";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { OriginHolders } from "./originHolders.js";
import { OriginLookup } from "./originLookup.js";
import type { RecordedOrigin } from "./recordedOrigin.js";
import type { StreamMessage } from "./streamMessage.js";
import { StreamMessageCodec } from "./streamMessageCodec.js";
import type { StreamOrigin } from "./streamOrigin.js";
import type { StreamOrigins } from "./streamOrigins.js";
import { StreamOriginTable } from "./streamOriginTable.js";
import type { StreamPeer } from "./streamPeer.js";

/** Time for which origins are gathered into one datagram, in milliseconds. A gateway that ends loses those gathered. */
const GATHER_MS = 3;
/** Time after which processes that have not responded are asked again, in milliseconds. */
const RETRY_MS = 35;
/** Time after which a lookup ends without a result, in milliseconds. A caller waits for the first event meanwhile. */
const LOOKUP_TIMEOUT_MS = 150;
/** Time for which the list of peers is used, in milliseconds. */
const PEERS_VALID_MS = 100;

interface PendingLookup {
    lookup: OriginLookup;
    result: Promise<StreamOrigin | undefined>;
    resolve: (origin: StreamOrigin | undefined) => void;
    retryTimer: Timer | undefined;
    timeoutTimer: Timer;
}

interface StreamOriginExchangeOptions {
    clock: Clock;
    logger: Logger;
    channel: DatagramChannel;
    self: { instanceName: InstanceName; address: HostPort; };
    /** Returns the other processes, shape [processes]. */
    peers: () => StreamPeer[];
}

/**
 * Keeps the origins of streams on two other processes each, so that they outlast the gateway that began the streams, and
 * asks the others for origins that this process doesn't know.
 */
export class StreamOriginExchange implements StreamOrigins {
    private readonly opts: StreamOriginExchangeOptions;
    private readonly codec = new StreamMessageCodec();
    private readonly table = new StreamOriginTable();
    private readonly lookups = new Map<RequestId, PendingLookup>();
    private gathered = new Map<StreamPeer, RecordedOrigin[]>();
    private gatherTimer: Timer | undefined;
    private holders = new OriginHolders([]);
    private peersAtMs = -Infinity;
    private knownPeers = "";

    constructor(opts: StreamOriginExchangeOptions) {
        this.opts = opts;
    }

    /** Opens the channel. Rejects if the address can't be bound. */
    async listen(): Promise<void> {
        await this.opts.channel.open(bytes => this.onMessage(bytes));
    }

    /** Closes the channel. Lookups end without a result. */
    close(): void {
        this.gatherTimer?.cancel();
        [...this.lookups.keys()].forEach(requestId => this.finish(requestId, undefined));
        this.opts.channel.close();
    }

    record(requestId: RequestId, origin: StreamOrigin): void {
        this.table.add(requestId, origin, this.opts.clock.nowMs());
        this.updateHolders();
        this.holders.holdersOf(requestId).forEach(peer =>
            this.gathered.set(peer, [...this.gathered.get(peer) ?? [], { requestId, origin }])
        );
        this.gatherTimer ??= this.opts.clock.setTimer(GATHER_MS, () => this.sendGathered());
    }

    lookUp(requestId: RequestId): Promise<StreamOrigin | undefined> {
        const known = this.table.get(requestId);
        if (known !== undefined) {
            return Promise.resolve(known);
        }
        return (this.lookups.get(requestId) ?? this.startLookup(requestId)).result;
    }

    private sendGathered(): void {
        this.gatherTimer = undefined;
        this.gathered.forEach((origins, { address }) =>
            this.codec.encodeOrigins(origins).forEach(bytes => this.opts.channel.send(bytes, address))
        );
        this.gathered = new Map();
    }

    private startLookup(requestId: RequestId): PendingLookup {
        this.updateHolders();
        const candidates = this.holders.candidatesOf(requestId).map(peer => peer.instanceName);
        let resolve: PendingLookup["resolve"] = () => undefined;
        const pending: PendingLookup = {
            lookup: new OriginLookup(candidates),
            result: new Promise<StreamOrigin | undefined>(settle => {
                resolve = settle;
            }),
            resolve: origin => resolve(origin),
            retryTimer: undefined,
            timeoutTimer: this.opts.clock.setTimer(LOOKUP_TIMEOUT_MS, () => this.finish(requestId, undefined)),
        };
        this.lookups.set(requestId, pending);
        this.ask(requestId, pending.lookup.start());
        this.scheduleRetry(requestId, pending);
        this.finishIfExhausted(requestId, pending);
        return pending;
    }

    private scheduleRetry(requestId: RequestId, pending: PendingLookup): void {
        pending.retryTimer = this.opts.clock.setTimer(RETRY_MS, () => {
            this.ask(requestId, pending.lookup.onRetryDue());
            this.scheduleRetry(requestId, pending);
        });
    }

    private ask(requestId: RequestId, names: readonly InstanceName[]): void {
        const bytes = this.codec.encode({ kind: "query", requestId, replyTo: this.opts.self.address });
        this.holders
            .candidatesOf(requestId)
            .filter(peer => names.includes(peer.instanceName))
            .forEach(({ address }) => this.opts.channel.send(bytes, address));
    }

    private finishIfExhausted(requestId: RequestId, { lookup }: PendingLookup): void {
        if (lookup.isExhausted) {
            this.finish(requestId, undefined);
        }
    }

    private finish(requestId: RequestId, origin: StreamOrigin | undefined): void {
        const pending = this.lookups.get(requestId);
        this.lookups.delete(requestId);
        pending?.retryTimer?.cancel();
        pending?.timeoutTimer.cancel();
        pending?.resolve(origin);
    }

    private onMessage(bytes: Buffer): void {
        try {
            this.handle(this.codec.decode(bytes));
        }
        catch (error) {
            this.opts.logger.warn("stream-message-unreadable", { message: (error as Error).message });
        }
    }

    private handle(message: StreamMessage): void {
        switch (message.kind) {
            case "origins":
                message.origins.forEach(recorded => this.onOrigin(recorded));
                return;
            case "query":
                this.respond(message.requestId, message.replyTo);
                return;
            case "response":
                this.onResponse(message);
        }
    }

    private onOrigin({ requestId, origin }: RecordedOrigin): void {
        this.table.add(requestId, origin, this.opts.clock.nowMs());
        this.finish(requestId, origin);
    }

    private respond(requestId: RequestId, replyTo: HostPort): void {
        const origin = this.table.get(requestId);
        const responder = this.opts.self.instanceName;
        this.opts.channel.send(this.codec.encode({ kind: "response", requestId, responder, origin }), replyTo);
    }

    private onResponse({ requestId, responder, origin }: Extract<StreamMessage, { kind: "response"; }>): void {
        const pending = this.lookups.get(requestId);
        if (pending === undefined) {
            return;
        }
        if (origin !== undefined) {
            this.onOrigin({ requestId, origin });
            return;
        }
        this.ask(requestId, pending.lookup.onUnaware(responder));
        this.finishIfExhausted(requestId, pending);
    }

    private updateHolders(): void {
        const nowMs = this.opts.clock.nowMs();
        if (nowMs < this.peersAtMs + PEERS_VALID_MS) {
            return;
        }
        this.peersAtMs = nowMs;
        const peers = this.opts.peers();
        const known = peers.map(peer => `${peer.instanceName} ${peer.address.host} ${peer.isLive}`).sort().join();
        if (known !== this.knownPeers) {
            this.knownPeers = known;
            this.holders = new OriginHolders(peers);
        }
    }
}
