import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { CallDefinition } from "@knapweedwood/links.calls/callDefinition";
import type { Link } from "@knapweedwood/links.calls/link";
import type { NotificationDefinition } from "@knapweedwood/links.calls/notificationDefinition";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { MemoryEndpoint } from "./memoryEndpoint.js";
import type { MemoryNetwork } from "./memoryNetwork.js";

const CALL_TIMEOUT_MS = 2000;

/** An in-memory link between two simulated processes. A call without a response fails after 2 s, outcome unknown. */
export class MemoryLink implements Link {
    private readonly opts: { from: MemoryEndpoint; address: string; network: MemoryNetwork; };

    constructor(opts: { from: MemoryEndpoint; address: string; network: MemoryNetwork; }) {
        this.opts = opts;
    }

    get peer(): PeerIdentity | undefined {
        return this.opts.network.endpointAt(this.opts.address)?.identity;
    }

    get state(): Link["state"] {
        return this.isReachable() ? "open" : "suspect";
    }

    async *call<Request, Frame>(definition: CallDefinition<Request, Frame>, request: Request): AsyncIterable<Frame> {
        const { from, network } = this.opts;
        const target = network.endpointAt(this.opts.address);
        if (target === undefined || target.lifecycle.dead || !this.isReachable()) {
            await sleep(network.clock, 1);
            await from.lifecycle.whenRunning();
            throw new KnapweedError("LINK_CLOSED", "The target process is unreachable", { outcome: "not-run" });
        }
        const copy = structuredClone(request);
        if (network.consumeDuplication()) {
            target.handleCall(definition.name, structuredClone(copy), from.identity).catch(() => undefined);
        }
        const frames = await Promise.race([
            target.handleCall(definition.name, copy, from.identity),
            this.rejectAfterTimeout(),
        ]);
        await from.lifecycle.whenRunning();
        if (network.consumeResponseLoss() || !this.isReachable()) {
            throw responseLostError();
        }
        yield* frames as Frame[];
    }

    notify<Message>(definition: NotificationDefinition<Message>, message: Message): void {
        if (this.isReachable()) {
            this.opts.network.endpointAt(this.opts.address)?.handleMessage(
                definition.name,
                message,
                this.opts.from.identity,
            );
        }
    }

    close(): void {
        // A simulated link has no resources to release.
    }

    private isReachable(): boolean {
        return !this.opts.network.isSilent(this.opts.from.address, this.opts.address);
    }

    private async rejectAfterTimeout(): Promise<never> {
        await sleep(this.opts.network.clock, CALL_TIMEOUT_MS);
        await this.opts.from.lifecycle.whenRunning();
        throw responseLostError();
    }
}

function responseLostError(): KnapweedError {
    return new KnapweedError("LINK_ANSWER_LOST", "The response was lost", { outcome: "unknown" });
}
