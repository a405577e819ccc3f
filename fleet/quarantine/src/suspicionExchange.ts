import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";
import type { Random } from "@knapweedwood/core.random/random";
import type { DatagramChannel } from "@knapweedwood/fleet.load/datagramChannel";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Suspicion } from "./suspicion.js";
import { SuspicionCodec } from "./suspicionCodec.js";

/** Time between two repetitions, in milliseconds. A process that missed a change or has started learns it by then. */
const REPEAT_INTERVAL_MS = 500;
/** Number of processes to which a repetition goes. In a larger fleet each time others are chosen. */
const REPEAT_TARGETS = 8;

interface SuspicionExchangeOptions {
    clock: Clock;
    random: Random;
    logger: Logger;
    channel: DatagramChannel;
    /** Returns the addresses of the other processes, shape [processes]. */
    peers: () => HostPort[];
    /** Returns the suspicions that peers may not know yet, shape [suspicions]. */
    toRepeat: () => Suspicion[];
    onReceived: (suspicions: readonly Suspicion[]) => void;
}

/** Sends changed suspicions to all other processes at once, and repeats them to some until they are known everywhere. */
export class SuspicionExchange {
    private readonly opts: SuspicionExchangeOptions;
    private readonly codec = new SuspicionCodec();
    private timer: Timer | undefined;

    constructor(opts: SuspicionExchangeOptions) {
        this.opts = opts;
    }

    /** Opens the channel and starts to repeat. Rejects if the address can't be bound. */
    async listen(): Promise<void> {
        await this.opts.channel.open(bytes => this.onMessage(bytes));
        this.scheduleRepeat();
    }

    close(): void {
        this.timer?.cancel();
        this.opts.channel.close();
    }

    /** Sends suspicions to all other processes. */
    publish(suspicions: readonly Suspicion[]): void {
        this.send(suspicions, this.opts.peers());
    }

    private scheduleRepeat(): void {
        this.timer = this.opts.clock.setTimer(REPEAT_INTERVAL_MS, () => {
            const suspicions = this.opts.toRepeat();
            if (suspicions.length > 0) {
                this.send(suspicions, this.chooseTargets());
            }
            this.scheduleRepeat();
        });
    }

    private chooseTargets(): HostPort[] {
        return this.opts
            .peers()
            .map(peer => ({ peer, order: this.opts.random.next() }))
            .sort((left, right) => left.order - right.order)
            .slice(0, REPEAT_TARGETS)
            .map(({ peer }) => peer);
    }

    private send(suspicions: readonly Suspicion[], targets: readonly HostPort[]): void {
        this.codec.encode(suspicions).forEach(bytes =>
            targets.forEach(target => this.opts.channel.send(bytes, target))
        );
    }

    private onMessage(bytes: Buffer): void {
        try {
            this.opts.onReceived(this.codec.decode(bytes));
        }
        catch (error) {
            this.opts.logger.warn("suspicions-unreadable", { message: (error as Error).message });
        }
    }
}
