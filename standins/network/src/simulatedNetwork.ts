import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Random } from "@knapweedwood/core.random/random";

const DELAY_MS = 1;

interface SimulatedChannel {
    open(onMessage: (bytes: Buffer) => void): Promise<void>;
    send(bytes: Buffer, target: { host: string; }): void;
    close(): void;
}

/** A network for tests that delays, loses and counts datagrams. */
export class SimulatedNetwork {
    /** Share of the datagrams that is lost. */
    lossShare = 0;
    /** Upper bound of the random delay of a datagram, on top of `DELAY_MS`. Datagrams overtake each other. */
    maxExtraDelayMs = 0;
    /** Hosts whose datagrams are all lost, in both directions. */
    readonly down = new Set<string>();
    /** Senders and receivers of the datagrams, shape [datagrams]. */
    readonly senders: string[] = [];
    readonly recipients: string[] = [];
    private readonly receivers = new Map<string, (bytes: Buffer) => void>();
    private readonly clock: Clock;
    private readonly random: Random;

    constructor(opts: { clock: Clock; random: Random; }) {
        this.clock = opts.clock;
        this.random = opts.random;
    }

    channelOf(host: string): SimulatedChannel {
        return {
            open: onMessage => {
                this.receivers.set(host, onMessage);
                return Promise.resolve();
            },
            send: (bytes, target) => this.send(host, bytes, target.host),
            close: () => this.receivers.delete(host),
        };
    }

    private send(from: string, bytes: Buffer, target: string): void {
        this.senders.push(from);
        if (this.down.has(from) || this.random.next() < this.lossShare) {
            return;
        }
        this.clock.setTimer(DELAY_MS + this.random.next() * this.maxExtraDelayMs, () => {
            if (this.down.has(target)) {
                return;
            }
            this.recipients.push(target);
            this.receivers.get(target)?.(bytes);
        });
    }
}
